#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "Net/Event/EventLoop.h"
#include "Net/Message/HttpClient.h"

namespace magnolia::gateway {

using common::boot_time;

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

/// One fetch of content that is too large for a datagram from another instance.
/// An owner that releases it from within one of its hooks passes it to
/// event_loop::retire().
class peer_fetch {
public:
  struct hooks {
    /// Bytes of the response arrived.
    std::function<void()> OnProgress;
    /// Called once, after start() has returned; the body is empty unless the
    /// content was received.
    std::function<void(fetch_end End, std::string Body)> OnEnd;
  };

  explicit peer_fetch(event::event_loop &Loop) : Loop(Loop) {}
  ~peer_fetch() { stop(); }
  peer_fetch(const peer_fetch &) = delete;
  peer_fetch &operator=(const peer_fetch &) = delete;

  /// Starts to fetch \p Path from the peer at \p Address, "IPv4:port". It times
  /// out when the peer sends nothing for a second, or not everything in five.
  void start(const std::string &Address, const std::string &Path, hooks Hooks);

  /// Gives it up; no hook is called any more.
  void stop();

  boot_time startedAt() const { return StartedAt; }

private:
  using timer_id = event::event_loop::timer_id;

  void restartSilenceTimer();
  void end(fetch_end End, std::string Body = {});

  event::event_loop &Loop;
  std::shared_ptr<message::client_connection> Connection;
  hooks Hooks;
  boot_time StartedAt;
  timer_id SilenceTimer = 0;
  timer_id TotalTimer = 0;
  bool Running = false;
};

} // namespace magnolia::gateway
