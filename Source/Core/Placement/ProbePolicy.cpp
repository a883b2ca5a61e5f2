#include "Placement/ProbePolicy.h"

namespace magnolia::placement {

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
  return Decision;
}

} // namespace magnolia::placement
