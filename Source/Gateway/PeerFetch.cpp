#include "Gateway/PeerFetch.h"

#include <utility>

#include "Net/Event/Address.h"

namespace magnolia::gateway {
namespace {

constexpr std::chrono::milliseconds SilenceTimeout{1000};
constexpr std::chrono::milliseconds TotalTimeout{5000};
constexpr size_t MaxContentBytes = size_t{16} * 1024 * 1024;
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
                       hooks Given) {
  Running = true;
  Hooks = std::move(Given);
  StartedAt = Loop.now();
  TotalTimer =
      Loop.callAfter(TotalTimeout, [this] { end(fetch_end::TimedOut); });
  const auto Parsed = event::parseAddress(Address);
  message::reader_limits Limits;
  Limits.BodyBytes = MaxContentBytes;
  if (Parsed.ok())
    Connection = message::client_connection::connect(Loop, *Parsed, Limits);
  if (!Connection) {
    SilenceTimer = Loop.callAfter(std::chrono::milliseconds(0),
                                  [this] { end(fetch_end::Broken); });
    return;
  }
  message::client_hooks ClientHooks;
  ClientHooks.OnConnected = [Path, Raw = Connection.get()] {
    message::request Request;
    Request.Method = "GET";
    Request.Target = Path;
    Request.Headers.add("Host", "peer");
    Raw->send(message::serialize(Request), false);
  };
  ClientHooks.OnProgress = [this] {
    restartSilenceTimer();
    Hooks.OnProgress();
  };
  ClientHooks.OnResponse = [this](message::response Response) {
    if (Response.Status == Ok)
      end(fetch_end::Received, std::move(Response.Body));
    else
      end(fetch_end::Refused);
  };
  ClientHooks.OnConnectFailed = [this] { end(fetch_end::Broken); };
  ClientHooks.OnFailure = [this](message::exchange_failure) {
    end(fetch_end::Broken);
  };
  Connection->setHooks(std::move(ClientHooks));
  restartSilenceTimer();
}

void peer_fetch::restartSilenceTimer() {
  Loop.cancel(SilenceTimer);
  SilenceTimer =
      Loop.callAfter(SilenceTimeout, [this] { end(fetch_end::TimedOut); });
}

void peer_fetch::stop() {
  if (!Running)
    return;
  Running = false;
  Loop.cancel(SilenceTimer);
  Loop.cancel(TotalTimer);
  if (!Connection)
    return;
  Connection->setHooks({});
  Connection->close();
  Loop.retire(std::exchange(Connection, nullptr));
}

void peer_fetch::end(fetch_end End, std::string Body) {
  if (!Running)
    return;
  stop();
  Hooks.OnEnd(End, std::move(Body));
}

} // namespace magnolia::gateway
