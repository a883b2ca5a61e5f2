#include "Placement/ProbePolicy.h"

namespace magnolia::placement {
namespace {

/// Whether the request can be sent again if its first attempt fails.
bool mayFail(const probe_settings &Settings, const probe_inputs &Inputs) {
  return Inputs.Repeatable && Inputs.AttemptsLeft > 1 &&
         Inputs.BudgetUsed < Settings.MaxBudgetUsed;
}

std::optional<std::chrono::milliseconds>
watchInterval(const probe_settings &Settings, const probe_inputs &Inputs) {
  const bool Costly = !mayFail(Settings, Inputs);
  const double MinFailedFraction = Costly ? Settings.CostlyWatchFailedFraction
                                          : Settings.WatchFailedFraction;
  if (Inputs.PeakFailedFraction < MinFailedFraction ||
      !watchesTargets(Settings, Inputs.Instances))
    return std::nullopt;
  return Costly ? Settings.CostlyWatchInterval : Settings.WatchInterval;
}

} // namespace

bool watchesTargets(const probe_settings &Settings, size_t Instances) {
  return Instances >= Settings.MinWatchInstances;
}

probe_decision decideProbing(const probe_settings &Settings,
                             const probe_inputs &Inputs) {
  const double RepeatableRate = Inputs.RequestRate * Inputs.RepeatableFraction;
  const bool RepeatablesProbe = RepeatableRate >= Settings.MinRepeatableRate;
  probe_decision Decision;
  Decision.ProbingRate = RepeatablesProbe ? RepeatableRate : Inputs.RequestRate;
  Decision.MayProbe =
      Inputs.Repeatable ? Inputs.AttemptsLeft > 1 : !RepeatablesProbe;
  if (Inputs.Repeatable && Inputs.BudgetUsed < Settings.MaxBudgetUsed)
    Decision.EarlyProbeRate =
        Settings.EarlyBudgetFraction * Inputs.BudgetPerSecond;
  if (Inputs.FirstAttempt)
    Decision.WatchInterval = watchInterval(Settings, Inputs);
  return Decision;
}

} // namespace magnolia::placement
