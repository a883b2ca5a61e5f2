#include "MagnoliaLoad/Caller.h"

#include <httplib.h>
#include <nlohmann/json.hpp>

namespace magnolia::load {
namespace {

constexpr std::chrono::seconds ConnectTimeout{1};
constexpr int FirstFailure = 300;

httplib::Headers headersFor(std::string_view Key) {
  httplib::Headers Headers;
  if (!Key.empty())
    Headers.emplace("Authorization", "Bearer " + std::string(Key));
  return Headers;
}

/// Reads {"error": {"kind": ..., "ran": ...}}.
call_outcome readRefusal(const httplib::Response &Response) {
  call_outcome Outcome{false, "http_" + std::to_string(Response.status),
                       std::string(nameOf(common::execution::Unknown))};
  const auto Json = nlohmann::json::parse(Response.body, nullptr, false);
  if (!Json.is_object() || !Json.contains("error") ||
      !Json["error"].is_object())
    return Outcome;
  Outcome.Kind = Json["error"].value("kind", Outcome.Kind);
  Outcome.Ran = Json["error"].value("ran", Outcome.Ran);
  return Outcome;
}

call_outcome readResult(const httplib::Result &Result) {
  if (Result && Result->status < FirstFailure)
    return {true, "ok", "yes"};
  if (Result)
    return readRefusal(*Result);
  if (Result.error() == httplib::Error::Connection)
    return {false, "connect_failed", "no"};
  return {false, "transport_failed", "unknown"};
}

} // namespace

caller::caller(microseconds Timeout) : Timeout(Timeout) {}

caller::~caller() = default;

httplib::Client &caller::clientOf(const std::string &Address) {
  std::unique_ptr<httplib::Client> &Client = Clients[Address];
  if (!Client) {
    const size_t Colon = Address.rfind(':');
    Client = std::make_unique<httplib::Client>(
        Address.substr(0, Colon), std::stoi(Address.substr(Colon + 1)));
    Client->set_keep_alive(true);
    Client->set_tcp_nodelay(true);
    Client->set_connection_timeout(ConnectTimeout);
    Client->set_read_timeout(Timeout);
    Client->set_write_timeout(Timeout);
  }
  return *Client;
}

call_outcome caller::call(const std::string &Address,
                          const request_kind &Request, std::string_view Key,
                          std::string_view RequestId) {
  httplib::Headers Headers = headersFor(Key);
  if (Request.IdempotencyKey)
    Headers.emplace("Idempotency-Key", std::string(RequestId));
  httplib::Client &Client = clientOf(Address);
  if (Request.Method == "GET")
    return readResult(Client.Get(Request.Path, Headers));
  const std::string Body(Request.BodyBytes, 'x');
  return readResult(
      Client.Post(Request.Path, Headers, Body, "application/octet-stream"));
}

page caller::get(const std::string &Address, const std::string &Path,
                 std::string_view Key) {
  const httplib::Result Result = clientOf(Address).Get(Path, headersFor(Key));
  if (!Result || Result->status >= FirstFailure)
    return {};
  return {true, Result->body};
}

bool caller::send(const scheduled_event &Event) {
  httplib::Client &Client = clientOf(Event.Address);
  const httplib::Result Result =
      Event.Method == "GET"
          ? Client.Get(Event.Path)
          : Client.Post(Event.Path, Event.Body, "application/json");
  return Result && Result->status < FirstFailure;
}

} // namespace magnolia::load
