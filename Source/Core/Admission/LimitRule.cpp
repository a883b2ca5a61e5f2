#include "Admission/LimitRule.h"

#include <algorithm>

namespace magnolia::admission {
namespace {

constexpr double FastSmoothing = 0.2;
constexpr double SlowSmoothing = 0.01;

/// Added to the limit over one round of as many requests as it allows.
constexpr double IncreasePerRound = 0.1;
constexpr double RefusalFactor = 0.85;
constexpr double LatencyFactor = 0.95;
/// Latency above this multiple of its slow average is taken for queueing.
constexpr double QueueingRatio = 2.0;

constexpr double GradientSmoothing = 0.1;
constexpr double GradientAllowance = 0.1;
constexpr double LeastGradient = 0.5;

void observeLatency(limit_state &State, double Micros) {
  if (State.SlowLatency == 0)
    State.SlowLatency = State.FastLatency = Micros;
  State.FastLatency += FastSmoothing * (Micros - State.FastLatency);
  // The slow average falls at once, so that a start under load is unlearnt.
  if (State.FastLatency < State.SlowLatency)
    State.SlowLatency = State.FastLatency;
  State.SlowLatency += SlowSmoothing * (Micros - State.SlowLatency);
}

void setLimit(limit_state &State, double Limit) {
  State.Limit = std::clamp(Limit, State.Lowest, State.Highest);
}

/// At most one decrease in the time of one request: requests that were in
/// flight together tell the same story.
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
    setLimit(State,
             State.Limit + IncreasePerRound / std::max(1.0, State.Limit));
}

void applyGradient(limit_state &State, const limit_sample &Sample) {
  if (Sample.Outcome == target_outcome::Failed)
    return;
  double Gradient = LeastGradient;
  if (Sample.Outcome == target_outcome::Succeeded) {
    observeLatency(State, static_cast<double>(Sample.Latency.count()));
    Gradient =
        std::clamp(State.SlowLatency / State.FastLatency, LeastGradient, 1.0);
    if (!inUse(State, Sample))
      return;
  }
  const double Wanted = State.Limit * Gradient + GradientAllowance;
  setLimit(State, State.Limit + GradientSmoothing * (Wanted - State.Limit));
}

} // namespace

limit_rule additiveIncreaseRule() { return applyAdditive; }

limit_rule gradientRule() { return applyGradient; }

limit_rule fixedRule() {
  return [](limit_state &, const limit_sample &) {};
}

} // namespace magnolia::admission
