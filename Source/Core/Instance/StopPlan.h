#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

#include "Common/Time.h"

namespace magnolia::instance {

using common::boot_time;
using duration = common::boot_clock::duration;

/// The steps of a planned stop, in order.
enum class stop_step : uint8_t {
  /// Not stopping.
  Serving,
  /// Peers and the table are told, the directory names this instance no more,
  /// loans and shares go back. Requests are served.
  Announcing,
  /// Peers know. Callers that keep an older answer are served.
  ServingKept,
  /// New requests are refused as not run; those in flight are finished.
  Finishing,
  /// Nothing is left to do.
  Done,
  Count
};

/// The name of \p Step as logs and status show it.
std::string_view nameOf(stop_step Step);

/// How long the steps last.
struct stop_settings {
  /// How long callers keep an answer of the directory.
  duration KeepFor = std::chrono::seconds(10);
  /// Longest wait for peers that do not confirm; no shorter than the time
  /// after which a silent instance is suspect, so that by then a cut-off peer's
  /// callers are told of others too.
  duration AnnounceTimeout = std::chrono::seconds(5);
  /// Longest wait for the return of loans and shares; what is not returned by
  /// then ends with its term.
  duration ReturnTimeout = std::chrono::seconds(10);
  /// What a caller's clock and its last connection attempt may add.
  duration Slack = std::chrono::seconds(1);
};

/// What a stop waits for.
struct stop_progress {
  /// Every living peer confirmed that it knows that this instance leaves.
  bool PeersConfirmed = false;
  /// Loans and shares are back.
  bool RightsReturned = false;
  uint32_t RequestsInFlight = 0;
};

/// Decides when a planned stop may go on to its next step. It cuts off no
/// request in flight: those have deadlines of their own. Not thread-safe.
class stop_plan {
public:
  explicit stop_plan(stop_settings Settings) : Settings(Settings) {}

  /// Begins to stop; a second call changes nothing.
  void begin(boot_time Now);

  /// Moves on as far as \p Progress and the time allow.
  stop_step advance(const stop_progress &Progress, boot_time Now);

  stop_step step() const { return Step; }
  bool acceptsRequests() const { return Step < stop_step::Finishing; }
  bool listedInDirectory() const { return Step == stop_step::Serving; }

private:
  void enter(stop_step Next, boot_time Now);

  stop_settings Settings;
  stop_step Step = stop_step::Serving;
  boot_time Begun;
  boot_time Entered;
};

} // namespace magnolia::instance
