#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

#include "Common/Time.h"

namespace magnolia::instance {

using common::boot_time;
using duration = common::boot_clock::duration;

/// The steps of a graceful shutdown, in order.
enum class shutdown_step : uint8_t {
  /// Not shutting down.
  Serving,
  /// Peers and the table are notified, the directory no longer lists this
  /// instance, loans and shares are being returned. Requests are served.
  Announcing,
  /// Peers have confirmed or the wait timed out. Callers that have cached an
  /// older directory response are still served.
  ServingKept,
  /// New requests are rejected as not run; those in flight are finished.
  Finishing,
  /// The shutdown is complete.
  Done,
  Count
};

/// The name of \p Step as logs and status show it.
std::string_view nameOf(shutdown_step Step);

/// Durations of the steps.
struct shutdown_settings {
  /// How long callers cache a directory response.
  duration DirectoryTtl = std::chrono::seconds(10);
  /// Timeout for peers that do not confirm. At least the time after which a
  /// silent instance becomes suspect, so that by then a cut-off peer also
  /// directs its callers to other instances.
  duration AnnounceTimeout = std::chrono::seconds(5);
  /// Timeout for the return of loans and shares; what is not returned by then
  /// expires with its term.
  duration ReturnTimeout = std::chrono::seconds(10);
  /// Allowance for a caller's clock and its last connection attempt.
  duration Slack = std::chrono::seconds(1);
};

/// The conditions that a shutdown waits for.
struct shutdown_progress {
  /// Every peer that is not gone confirmed that it knows that this instance is
  /// draining.
  bool PeersConfirmed = false;
  /// Loans and shares have been returned.
  bool RightsReturned = false;
  uint32_t RequestsInFlight = 0;
};

/// Decides when a graceful shutdown may proceed to its next step. It aborts no
/// request in flight: those have their own deadlines. Not thread-safe.
class shutdown_plan {
public:
  explicit shutdown_plan(shutdown_settings Settings) : Settings(Settings) {}

  /// Starts the shutdown; a second call has no effect.
  void begin(boot_time Now);

  /// Proceeds as far as \p Progress and the time allow.
  shutdown_step advance(const shutdown_progress &Progress, boot_time Now);

  shutdown_step step() const { return Step; }
  bool acceptsRequests() const { return Step < shutdown_step::Finishing; }
  bool listedInDirectory() const { return Step == shutdown_step::Serving; }

private:
  void enter(shutdown_step Next, boot_time Now);

  shutdown_settings Settings;
  shutdown_step Step = shutdown_step::Serving;
  boot_time StartedAt;
  boot_time EnteredAt;
};

} // namespace magnolia::instance
