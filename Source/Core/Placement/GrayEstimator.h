#pragma once

#include <optional>
#include <string_view>

#include "Placement/EpisodeLength.h"
#include "Placement/TargetEntry.h"

namespace magnolia::placement {

/// What an attempt showed of its target.
enum class evidence : uint8_t {
  /// A whole answer without fault.
  Succeeded,
  /// The request was taken and not turned away at once. Targets that reset
  /// requests do so within milliseconds, so this is news long before an answer.
  Accepted,
  /// The connection was reset or ended before a whole answer, or what came was
  /// no answer.
  Broken,
  /// The target answered that it failed.
  Failed,
  /// The target refused without running the request.
  Refused,
  /// No answer in a time in which nearly all requests are answered.
  Stalled,
  /// No connection was established.
  Unreachable,
  Count
};

/// The name of \p Evidence as logs show it.
std::string_view nameOf(evidence Evidence);

/// How failures of a service's targets are judged.
struct gray_estimator_settings {
  /// Probability that a target of which nothing is known is gray.
  double Prior = 0.3;
  /// Time in which what was seen loses all but a third of its weight.
  duration DecayTime = std::chrono::milliseconds(9000);
};

/// The probability that a target is gray: it fails a large part of its
/// requests, whatever its health check says. A two-state filter: evidence moves
/// the probability by Bayes' rule, time lets it return to the prior; a target
/// that failed stays gray for as long as episodes last. Load pattern: at any
/// time a third of the targets reset most requests, each for about ten seconds,
/// and each failed request of a route that is not repeatable is lost; a target
/// with the newest proof is worth more than one of which nothing is known, and
/// that more than one that has just failed. Not thread-safe.
class gray_estimator {
public:
  /// \p Length: how long episodes last, told of what is seen; null where time
  /// alone says nothing of when a failure ends. Must outlive this object.
  explicit gray_estimator(const gray_estimator_settings &Settings,
                          episode_length *Length = nullptr)
      : Settings(Settings), Length(Length), Probability(Settings.Prior) {}

  /// The probability at \p Now.
  double probabilityAt(boot_time Now) const;

  /// Takes in what a request that was sent at \p SentAt showed at \p Now. Good
  /// news of a request that was sent before the last failure says nothing.
  void observe(evidence Evidence, boot_time SentAt, boot_time Now);

  boot_time lastFailure() const { return LastFailure; }
  boot_time lastPositive() const { return LastPositive; }

private:
  /// The failures since the target was last sound.
  struct episode {
    boot_time Since;
    /// A request had succeeded shortly before, so Since is its beginning.
    bool BeginningKnown = false;
  };

  double survivalAt(boot_time Now) const;
  void updateEpisode(evidence Evidence, boot_time SentAt, boot_time Now);

  gray_estimator_settings Settings;
  episode_length *Length;
  double Probability;
  std::optional<episode> Episode;
  boot_time Updated;
  boot_time LastFailure;
  boot_time LastPositive;
};

} // namespace magnolia::placement
