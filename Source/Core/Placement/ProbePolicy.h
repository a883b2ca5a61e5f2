#pragma once

#include <cstddef>

namespace magnolia::placement {

/// When requests may probe targets that are probably gray.
struct probe_settings {
  /// Repeatable requests alone probe the targets of a service from this many a
  /// second on, over the fleet.
  double MinRepeatableRate = 5;
  /// They probe early while less than this fraction of the budget for extra
  /// attempts is used; the rest is left for requests that fail otherwise.
  double MaxBudgetUsed = 0.5;
};

/// What is known when a target is chosen for a request.
struct probe_inputs {
  /// Requests of the service per second over the fleet, and the fraction of
  /// them that can be sent again after a failure.
  double RequestRate = 0;
  double RepeatableFraction = 0;
  /// Used fraction of the service's budget for extra attempts.
  double BudgetUsed = 0;
  /// Whether this request is one of those, and the number of targets that it
  /// may still be sent to.
  bool Repeatable = false;
  size_t AttemptsLeft = 1;
};

struct probe_decision {
  /// Requests of the service per second over the fleet that may probe.
  double ProbingRate = 0;
  /// Whether this request may probe a target.
  bool MayProbe = false;
  /// Whether it may probe one that failed a short time ago.
  bool MayProbeEarly = false;
};

/// Decides whether a request may probe. A probe that meets a gray target costs
/// an extra attempt, or the request if it cannot be sent again: so repeatable
/// requests probe, where a service has enough of them, with their first attempt
/// and while enough of the budget is left. Load pattern: instances lose their
/// paths to a third of all targets, and probes of these targets leave nothing
/// of the budget for the requests that fail without having probed.
probe_decision decideProbing(const probe_settings &Settings,
                             const probe_inputs &Inputs);

} // namespace magnolia::placement
