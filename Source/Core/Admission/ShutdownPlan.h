#pragma once

#include <cstddef>

#include "Common/Time.h"

/// Decides what an instance still does for its callers while it shuts down.
/// Uses no sockets, threads or clocks.
namespace magnolia::admission {

using duration = common::boot_clock::duration;

/// Graceful shutdown.
struct shutdown_settings {
  /// The process is killed from outside after this time.
  duration Grace = std::chrono::seconds(6);
  /// After this time only requests are accepted whose deadline is before the
  /// exit. By then all callers have a new directory response. Requests accepted
  /// earlier may be cut off by the exit.
  duration AcceptAllPeriod = std::chrono::seconds(3);
  /// New connections are accepted until this much of the grace time is left.
  duration StopListeningBefore = std::chrono::milliseconds(1000);
  /// Requests are served until this much of the grace time is left.
  duration ExitBefore = std::chrono::milliseconds(150);
  /// Bandwidth of the slowest callers in bytes per second.
  double CallerBandwidth = 1'000'000;
};

/// Complete responses that cannot be sent, since responses are sent in the
/// order of the requests and an earlier one is missing.
struct blocked_responses {
  size_t Count = 0;
  size_t Bytes = 0;
};

/// The times of one shutdown, counted from its start. A request without a
/// response keeps its chance until the exit, unless a complete response waits
/// behind it: it is ended so early that this one can still be sent.
class shutdown_plan {
public:
  /// \p Bandwidth: of the instance's link in bytes per second; zero if unknown.
  shutdown_plan(const shutdown_settings &Settings, double Bandwidth)
      : Settings(Settings), Bandwidth(Bandwidth) {}

  /// Whether a request that arrives at \p Now and must have its response by
  /// \p RespondBy is refused.
  bool refuses(duration Now, duration RespondBy) const;

  /// When new connections are no longer accepted.
  duration stopsListeningAt() const;

  /// When requests are ended for the sake of the responses \p Blocked behind
  /// them on their connection. \p AllBytes: of all connections.
  duration endsBlockingAt(const blocked_responses &Blocked,
                          size_t AllBytes) const;

  /// When all other requests are ended.
  duration endsAllAt() const;

  /// When the process exits although callers still fetch responses.
  duration exitsAt() const;

private:
  duration timeToSend(size_t Bytes, size_t AllBytes) const;

  const shutdown_settings Settings;
  const double Bandwidth;
};

} // namespace magnolia::admission
