#pragma once

#include <array>
#include <cstddef>

#include "Placement/TargetEntry.h"

namespace magnolia::placement {

/// Estimates the distribution of the length of gray episodes from the results
/// of requests to gray targets at each age of their episode. Load pattern: a
/// third of the targets turn gray in turn, all for about the same time, which
/// differs between deployments; a request that is not repeatable and is sent
/// before its target has recovered is lost. Reads no clock; not thread-safe.
class episode_length {
public:
  episode_length();

  /// The probability that an episode that began \p Age ago is still going on.
  double survival(duration Age) const;

  /// The same for an episode whose first failure was seen \p Age ago and whose
  /// start is unknown.
  double survivalSinceNoticed(duration Age) const;

  /// Records the result of a request that was sent \p Age after the start of
  /// its target's episode.
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
