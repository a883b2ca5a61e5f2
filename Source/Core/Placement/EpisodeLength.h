#pragma once

#include <array>
#include <cstddef>

#include "Placement/TargetEntry.h"

namespace magnolia::placement {

/// How long targets stay gray, learned from what requests to gray targets
/// showed at each age of their episode. Load pattern: a third of the targets
/// turn gray in turn, all for about the same time, which differs between
/// deployments; a request that is sent before its target has recovered is lost
/// where it must not be repeated. Free of clocks; not thread-safe.
class episode_length {
public:
  episode_length();

  /// The probability that an episode that began \p Age ago still goes on.
  double survival(duration Age) const;

  /// The same where the episode was first noticed \p Age ago and may have begun
  /// long before.
  double survivalSinceNoticed(duration Age) const;

  /// A request that was sent \p Age after the beginning of its target's episode
  /// failed, or did not.
  void observe(duration Age, bool Failed);

private:
  static constexpr size_t Candidates = 40;
  using table = std::array<double, Candidates>;

  void tabulate();

  // One entry for each candidate length.
  table LogLikelihood{};
  // One entry for each age.
  table SurvivalSinceStart{};
  table SurvivalSinceNoticed{};
};

} // namespace magnolia::placement
