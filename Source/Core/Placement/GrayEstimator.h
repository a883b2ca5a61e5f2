#pragma once

#include <optional>
#include <string_view>

#include "Placement/EpisodeLength.h"
#include "Placement/FailureMode.h"
#include "Placement/TargetEntry.h"

namespace magnolia::placement {

/// What an attempt reveals about the state of its target.
enum class evidence : uint8_t {
  /// A complete response without an error.
  Succeeded,
  /// The target accepted the request and did not reset it at once. Targets that
  /// reset requests do so within milliseconds, so this is known long before a
  /// response. Where gray targets accept requests it shows nothing.
  Accepted,
  /// The connection was reset or ended before a complete response, or the bytes
  /// received were not a valid response.
  Broken,
  /// The target responded with an error.
  Failed,
  /// The target refused without running the request.
  Refused,
  /// No response within a time that is enough for nearly all requests.
  Stalled,
  /// No connection was established.
  Unreachable,
  /// No response by the deadline of a request that had stalled.
  TimedOut,
  /// A complete response without an error to a request that had stalled.
  SucceededLate,
  /// It said that it is draining. No evidence that it is gray.
  Draining,
  Count
};

/// The name of \p Evidence in logs.
std::string_view nameOf(evidence Evidence);

/// Parameters of the estimate for the targets of a service.
struct gray_estimator_settings {
  /// Probability that a target without any evidence is gray.
  double Prior = 0.3;
  /// Time after which evidence keeps about a third of its weight.
  duration DecayTime = std::chrono::milliseconds(9000);
};

/// What all gray targets have in common, learned from the evidence about each.
struct gray_pattern {
  episode_length Length;
  failure_mode Mode;
};

/// Estimates the probability that a target is gray: it fails a large part of
/// its requests, whatever its health check says. A two-state Bayes filter:
/// evidence updates the probability by Bayes' rule and without evidence it
/// decays to the prior; after a failure it follows the expected length of a
/// gray episode. Load pattern: at any time a third of the targets reset most
/// requests, each for about ten seconds, and each failed request of a route
/// that is not repeatable is lost; a target with recent positive evidence is
/// preferred to one without evidence, and that to one that has just failed. Not
/// thread-safe.
class gray_estimator {
public:
  /// \p Pattern: what is known of all targets, which is also updated with the
  /// evidence; null to decay to the prior by time alone. Must outlive this
  /// object.
  explicit gray_estimator(const gray_estimator_settings &Settings,
                          gray_pattern *Pattern = nullptr)
      : Settings(Settings), Pattern(Pattern), Probability(Settings.Prior) {}

  /// The probability at \p Now.
  double probabilityAt(boot_time Now) const;

  /// Records evidence that a request sent at \p SentAt gave at \p Now. Positive
  /// evidence of a request that was sent before the last failure is ignored.
  void observe(evidence Evidence, boot_time SentAt, boot_time Now);

  /// When the last negative evidence other than a refusal or a missed deadline
  /// was observed; zero if none was.
  boot_time lastFailure() const { return LastFailure; }
  /// When the latest request with positive evidence was sent; zero if none was.
  boot_time lastPositive() const { return LastPositive; }

private:
  /// The failures since the target was last healthy.
  struct episode {
    boot_time Since;
    /// A request had succeeded shortly before, so Since is the start of the
    /// episode.
    bool BeginningKnown = false;
  };

  bool targetsHang() const { return Pattern && Pattern->Mode.targetsHang(); }
  /// Whether a request failed in the way of gray targets.
  bool isTypicalFailure(evidence Evidence, duration Elapsed) const;
  bool isIgnored(evidence Evidence, boot_time SentAt) const;
  double survivalAt(boot_time Now) const;
  void updateEpisode(evidence Evidence, boot_time SentAt, boot_time Now);

  gray_estimator_settings Settings;
  gray_pattern *Pattern;
  double Probability;
  std::optional<episode> Episode;
  boot_time Updated;
  boot_time LastFailure;
  boot_time LastPositive;
};

} // namespace magnolia::placement
