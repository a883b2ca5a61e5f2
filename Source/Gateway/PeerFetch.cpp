#include "Gateway/PeerFetch.h"

#include <utility>

#include "Net/Event/Address.h"

namespace magnolia::gateway {
namespace {

constexpr std::chrono::milliseconds Timeout{1000};
constexpr int Ok = 200;

} // namespace

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
      end(std::move(Response.Body));
    else
      end(std::nullopt);
  };
  Hooks.OnConnectFailed = [this] { end(std::nullopt); };
  Hooks.OnFailure = [this](message::exchange_failure) { end(std::nullopt); };
  Connection->setHooks(std::move(Hooks));
  Timer = Loop.callAfter(Timeout, [this] { end(std::nullopt); });
}

void peer_fetch::end(std::optional<std::string> Body) {
  if (!Connection)
    return;
  Loop.cancel(Timer);
  Connection->setHooks({});
  Connection->close();
  Loop.retire(std::exchange(Connection, nullptr));
  std::exchange(OnEnd, nullptr)(std::move(Body));
}

} // namespace magnolia::gateway
