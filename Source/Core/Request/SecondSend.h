#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string_view>

/// Decides whether a request that has no response yet is sent to a second
/// target. Uses no sockets, threads or clocks.
namespace magnolia::request {

/// What a second send is decided on.
struct second_send_state {
  bool Repeatable = false;
  /// Whether the route allows one more target and there is one.
  bool HasOtherTarget = false;
  /// The latency after which a response counts as late; absent while too few
  /// latencies are known.
  std::optional<std::chrono::microseconds> Delay;
  /// Time since the last send of the request.
  std::chrono::microseconds Waited{0};
  /// Time until the result must be known.
  std::chrono::microseconds TimeLeft{0};
  /// The usual latency of such requests.
  std::chrono::microseconds UsualLatency{0};
  /// The recent median of the latency, divided by the usual one.
  double MedianRise = 1;
  /// The fraction of the service's recent sends that were late, over the fleet.
  double LateFraction = 0;
  /// The fraction of the service's slots that are free.
  double FreeFraction = 1;
};

struct second_send_settings {
  /// A second send needs this many times the usual latency before the deadline.
  double MinRunsLeft = 1.5;
  /// While at least this fraction of the sends is late, most targets are slow
  /// together, and a second send would only add to their load.
  double MaxLateFraction = 0.3;
  /// The same for the rise of the median.
  double MaxMedianRise = 2;
  /// With a lower fraction of free slots, a second send may take the slot of
  /// another request.
  double MinFreeFraction = 0.1;
};

/// Whether to start a second send, or why not.
enum class second_send_reason : uint8_t {
  Start,
  NotRepeatable,
  NoOtherTarget,
  /// Too few latencies are known.
  LatencyUnknown,
  /// Its delay has not passed.
  TooEarly,
  /// The time that is left cannot hold another run.
  DeadlineTooNear,
  /// Most targets are slow together.
  TargetsSlow,
  RoomShort,
  /// What is left of the budget of extra attempts is reserved for retries.
  ReservedForRetries,
  /// The operator's limit is reached.
  LimitReached,
  Count
};

/// The name of \p Reason in logs and metrics.
std::string_view nameOf(second_send_reason Reason);

/// The decision but for the budgets, which are asked only if it is Start. Load
/// patterns: a few targets are slow, and a second send avoids them; all targets
/// of a service are slow or have no free slot, and second sends would make it
/// worse.
second_send_reason decideSecondSend(const second_send_settings &Settings,
                                    const second_send_state &State);

} // namespace magnolia::request
