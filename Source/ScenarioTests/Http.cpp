#include "ScenarioTests/Http.h"

#include <csignal>

#include <httplib.h>
#include <nlohmann/json.hpp>

namespace magnolia::scenario {
namespace {

void readRefusal(call_result &Result) {
  const auto Json = nlohmann::json::parse(Result.Body, nullptr, false);
  if (!Json.is_object() || !Json.contains("error"))
    return;
  Result.ErrorKind = Json["error"].value("kind", "");
  Result.Ran = Json["error"].value("ran", "");
}

void sendInChunks(httplib::Request &Request, const std::string &Body) {
  Request.set_header("Transfer-Encoding", "chunked");
  Request.is_chunked_content_provider_ = true;
  Request.content_provider_ = [Body](size_t, size_t, httplib::DataSink &Sink) {
    const bool Sent = Sink.write(Body.data(), Body.size());
    if (Sent)
      Sink.done();
    return Sent;
  };
}

} // namespace

call_result send(const std::string &Address, const call &Call) {
  // An instance may refuse a request and close the connection before all of it
  // was written; the library does not suppress the signal.
  std::signal(SIGPIPE, SIG_IGN);
  httplib::Client Client("http://" + Address);
  Client.set_tcp_nodelay(true);
  Client.set_connection_timeout(Call.Timeout);
  Client.set_read_timeout(Call.Timeout);
  Client.set_write_timeout(Call.Timeout);
  httplib::Request Request;
  Request.method = Call.Method;
  Request.path = Call.Path;
  if (Call.Chunked)
    sendInChunks(Request, Call.Body);
  else
    Request.body = Call.Body;
  if (!Call.Secret.empty())
    Request.set_header("Authorization", "Bearer " + Call.Secret);
  for (const auto &[Name, Value] : Call.Headers)
    Request.set_header(Name, Value);
  if (!Call.Body.empty() && !Call.Chunked)
    Request.set_header("Content-Length", std::to_string(Call.Body.size()));

  call_result Result;
  const httplib::Result Answer = Client.send(Request);
  if (!Answer)
    return Result;
  Result.Status = Answer->status;
  Result.Body = Answer->body;
  readRefusal(Result);
  return Result;
}

} // namespace magnolia::scenario
