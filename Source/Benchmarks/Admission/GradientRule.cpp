#include "Benchmarks/Admission/GradientRule.h"

#include <algorithm>

namespace magnolia::benchmarks {
namespace {

using admission::limit_sample;
using admission::limit_state;
using admission::target_outcome;

constexpr double FastSmoothing = 0.05;
constexpr double SlowSmoothing = 0.002;
constexpr double GradientSmoothing = 0.1;
/// Part of an instance's share that may wait inside the target.
constexpr double GradientAllowance = 0.1;
constexpr double LeastGradient = 0.5;

void observeLatency(limit_state &State, double Micros) {
  if (State.SlowLatency == 0)
    State.SlowLatency = State.FastLatency = Micros;
  State.FastLatency += FastSmoothing * (Micros - State.FastLatency);
  State.SlowLatency += SlowSmoothing * (Micros - State.SlowLatency);
}

void applyGradient(limit_state &State, const limit_sample &Sample) {
  if (Sample.Outcome == target_outcome::Failed)
    return;
  double Gradient = LeastGradient;
  if (Sample.Outcome == target_outcome::Succeeded) {
    observeLatency(State, static_cast<double>(Sample.Latency.count()));
    Gradient =
        std::clamp(State.SlowLatency / State.FastLatency, LeastGradient, 1.0);
  }
  const double Wanted =
      State.Limit * Gradient + GradientAllowance * State.Share;
  State.Limit =
      std::clamp(State.Limit + GradientSmoothing * (Wanted - State.Limit),
                 State.Lowest, State.Highest);
}

} // namespace

admission::limit_rule gradientRule() { return applyGradient; }

} // namespace magnolia::benchmarks
