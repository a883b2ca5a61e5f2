#pragma once

#include <chrono>
#include <cstddef>
#include <optional>

namespace magnolia::placement {

/// When requests may probe targets that are probably gray.
struct probe_settings {
  /// Repeatable requests alone probe the targets of a service from this many a
  /// second on, over the fleet.
  double MinRepeatableRate = 5;
  /// Fraction of the budget for extra attempts that early probes may cost; the
  /// rest is left for requests that fail otherwise.
  double EarlyBudgetFraction = 0.25;
  /// Nothing is probed early from this used fraction of the budget on.
  double MaxBudgetUsed = 0.9;
  /// From this failed fraction of a service's requests on, in any recent two
  /// seconds, each of its targets is sent a request regularly, whatever is
  /// known of it: targets may be excluded that have recovered, and be missed
  /// when others fail.
  double WatchFailedFraction = 0.03;
  /// How long such a target goes without a request, over the fleet. Targets are
  /// in use if they get a request every two seconds.
  std::chrono::milliseconds WatchInterval{1200};
  /// The same for requests that are lost if the target fails them.
  double CostlyWatchFailedFraction = 0.1;
  std::chrono::milliseconds CostlyWatchInterval{1750};
  /// Fewer instances watch nothing: the probes that they draw at random hardly
  /// meet at the same target, and each failed one costs the same.
  size_t MinWatchInstances = 24;
};

/// What is known when a target is chosen for a request.
struct probe_inputs {
  /// Requests of the service per second over the fleet, and the fraction of
  /// them that can be sent again after a failure.
  double RequestRate = 0;
  double RepeatableFraction = 0;
  /// The service's budget for extra attempts, per second, and the used fraction
  /// of it.
  double BudgetPerSecond = 0;
  double BudgetUsed = 0;
  /// Whether this request is one of those, and the number of targets that it
  /// may still be sent to.
  bool Repeatable = false;
  size_t AttemptsLeft = 1;
  /// Whether it has not been sent to a target yet.
  bool FirstAttempt = true;
  /// Reachable instances, this one included.
  size_t Instances = 1;
  /// The highest failed fraction of the service in recent two seconds.
  double PeakFailedFraction = 0;
};

struct probe_decision {
  /// Requests of the service per second over the fleet that may probe.
  double ProbingRate = 0;
  /// Whether this request may probe a target.
  bool MayProbe = false;
  /// Probes per second over the fleet of targets that failed a short time ago;
  /// zero if this request may not send one.
  double EarlyProbeRate = 0;
  /// The request goes to a target that this instance watches if that had none
  /// for so long; none if it does not.
  std::optional<std::chrono::milliseconds> WatchInterval;
};

/// Whether a fleet of \p Instances watches targets while many requests fail.
bool watchesTargets(const probe_settings &Settings, size_t Instances);

/// Decides whether a request may probe. A probe that meets a gray target costs
/// an extra attempt, or the request if it cannot be sent again: so repeatable
/// requests probe, where a service has enough of them, with their first attempt
/// and within a part of the budget. Load pattern: instances lose their
/// paths to a third of all targets, and probes of these targets leave nothing
/// of the budget for the requests that fail without having probed. A second
/// pattern: all requests of a service run at most once, a third of its targets
/// are gray for nine seconds each, and something else fails a tenth of the
/// requests. Then too much capacity may be excluded, and each target is tried
/// all the while, by one instance each (probe_division). That costs at most one
/// request for each excluded target and interval.
probe_decision decideProbing(const probe_settings &Settings,
                             const probe_inputs &Inputs);

} // namespace magnolia::placement
