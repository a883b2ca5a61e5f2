#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "Net/Event/EventLoop.h"
#include "Net/Message/HttpClient.h"

namespace magnolia::gateway {

/// How a fetch from a peer ended.
enum class fetch_end : uint8_t {
  Received,
  /// The peer has no such content, or is busy.
  Refused,
  /// The connection failed or the response was incomplete.
  Broken,
  TimedOut,
};

/// As in the log.
std::string_view nameOf(fetch_end End);

/// Fetches content that is too large for a datagram from another instance, one
/// at a time. The loop must not run after it is destroyed.
class peer_fetch {
public:
  /// Receives the body of the response, empty unless it was received. A peer
  /// that has not responded within a second times out.
  using end_hook = std::function<void(fetch_end End, std::string Body)>;

  explicit peer_fetch(event::event_loop &Loop) : Loop(Loop) {}

  /// Starts to fetch \p Path from the peer at \p Address, "IPv4:port". Nothing
  /// happens if the address is invalid or the system reports an error.
  void start(const std::string &Address, const std::string &Path,
             end_hook OnEnd);

  bool isRunning() const { return Connection != nullptr; }

private:
  void end(fetch_end End, std::string Body = {});

  event::event_loop &Loop;
  std::shared_ptr<message::client_connection> Connection;
  event::event_loop::timer_id Timer = 0;
  end_hook OnEnd;
};

} // namespace magnolia::gateway
