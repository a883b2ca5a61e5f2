#include "Gateway/PeerFetch.h"

#include <utility>

#include "Net/Event/Address.h"

namespace magnolia::gateway {
namespace {

constexpr std::chrono::milliseconds Timeout{1000};
constexpr int Ok = 200;

} // namespace

std::string_view nameOf(fetch_end End) {
  switch (End) {
  case fetch_end::Received:
    return "received";
  case fetch_end::Refused:
    return "refused";
  case fetch_end::Broken:
    return "broken";
  case fetch_end::TimedOut:
    return "timed_out";
  }
  return "unknown";
}

void peer_fetch::start(const std::string &Address, const std::string &Path,
                       end_hook OnEndGiven) {
  const auto Parsed = event::parseAddress(Address);
  if (!Parsed.ok() || isRunning())
    return;
  Connection = message::client_connection::connect(Loop, *Parsed,
                                                   message::reader_limits());
  if (!Connection)
    return;
  OnEnd = std::move(OnEndGiven);
  message::client_hooks Hooks;
  Hooks.OnConnected = [Path, Raw = Connection.get()] {
    message::request Request;
    Request.Method = "GET";
    Request.Target = Path;
    Request.Headers.add("Host", "peer");
    Raw->send(message::serialize(Request), false);
  };
  Hooks.OnResponse = [this](message::response Response) {
    if (Response.Status == Ok)
      end(fetch_end::Received, std::move(Response.Body));
    else
      end(fetch_end::Refused);
  };
  Hooks.OnConnectFailed = [this] { end(fetch_end::Broken); };
  Hooks.OnFailure = [this](message::exchange_failure) {
    end(fetch_end::Broken);
  };
  Connection->setHooks(std::move(Hooks));
  Timer = Loop.callAfter(Timeout, [this] { end(fetch_end::TimedOut); });
}

void peer_fetch::end(fetch_end End, std::string Body) {
  if (!Connection)
    return;
  Loop.cancel(Timer);
  Connection->setHooks({});
  Connection->close();
  Loop.retire(std::exchange(Connection, nullptr));
  std::exchange(OnEnd, nullptr)(End, std::move(Body));
}

} // namespace magnolia::gateway
