#include "Admission/LimitRule.h"

#include <algorithm>

namespace magnolia::admission {
namespace {

constexpr double FastSmoothing = 0.05;
constexpr double SlowSmoothing = 0.002;

/// Fraction of an instance's share that one success adds to the limit.
constexpr double IncreaseFraction = 0.02;
constexpr double RefusalFactor = 0.85;
constexpr double LatencyFactor = 0.95;
/// Latency above this multiple of its slow average is treated as queueing.
constexpr double QueueingRatio = 2.5;

void observeLatency(limit_state &State, double Micros) {
  if (State.SlowLatency == 0)
    State.SlowLatency = State.FastLatency = Micros;
  State.FastLatency += FastSmoothing * (Micros - State.FastLatency);
  State.SlowLatency += SlowSmoothing * (Micros - State.SlowLatency);
}

void setLimit(limit_state &State, double Limit) {
  State.Limit = std::clamp(Limit, State.Lowest, State.Highest);
}

/// Decreases the limit at most once in the duration of one request: requests
/// that were in flight together are affected by the same overload.
void decrease(limit_state &State, double Factor, common::boot_time Now) {
  const std::chrono::microseconds Hold(static_cast<int64_t>(State.SlowLatency));
  if (Now - State.LastDecrease < Hold)
    return;
  State.LastDecrease = Now;
  setLimit(State, State.Limit * Factor);
}

bool inUse(const limit_state &State, const limit_sample &Sample) {
  return 2.0 * Sample.InFlight >= State.Limit;
}

void applyAdditive(limit_state &State, const limit_sample &Sample) {
  if (Sample.Outcome == target_outcome::Failed)
    return;
  if (Sample.Outcome == target_outcome::Refused)
    return decrease(State, RefusalFactor, Sample.Now);
  observeLatency(State, static_cast<double>(Sample.Latency.count()));
  if (State.FastLatency > QueueingRatio * State.SlowLatency)
    return decrease(State, LatencyFactor, Sample.Now);
  if (inUse(State, Sample))
    setLimit(State, State.Limit + IncreaseFraction * State.Share);
}

} // namespace

limit_rule additiveIncreaseRule() { return applyAdditive; }

limit_rule fixedRule() {
  return [](limit_state &, const limit_sample &) {};
}

} // namespace magnolia::admission
