#include "Placement/GrayEstimator.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace magnolia::placement {
namespace {

/// Probability of one kind of evidence in each state of the target.
struct likelihood {
  double IfGray;
  double IfHealthy;
};

// In the order of evidence.
constexpr std::array<std::string_view, static_cast<size_t>(evidence::Count)>
    Names = {"succeeded", "accepted", "broken",     "failed",
             "refused",   "stalled",  "unreachable"};

// In the order of evidence. Healthy targets fail about one request in a
// hundred, and refuse or are slow more often than that under load. Gray ones
// reset requests rather than respond with an error.
constexpr std::array<likelihood, static_cast<size_t>(evidence::Count)>
    Likelihoods = {{
        {0.40, 0.97},  // Succeeded
        {0.25, 0.97},  // Accepted
        {0.75, 0.003}, // Broken
        {0.20, 0.015}, // Failed
        {0.20, 0.08},  // Refused
        {0.30, 0.05},  // Stalled
        {0.80, 0.01},  // Unreachable
    }};

constexpr double MaxProbability = 0.995;
/// An episode is over when the probability that the target is gray is below the
/// first value, or the probability that an episode lasts this long is below the
/// second.
constexpr double RecoveredProbability = 0.25;
constexpr double MinSurvival = 0.1;
/// Gray targets reset requests at once. A request that breaks later had been
/// accepted and does not show that the target will fail further ones.
constexpr std::chrono::milliseconds MaxResetDelay{250};
/// A success at most this long before a failure gives the start of the episode.
constexpr std::chrono::milliseconds RecentSuccessPeriod{2000};

bool isImmediateReset(evidence Evidence, duration Elapsed) {
  return Evidence == evidence::Broken && Elapsed <= MaxResetDelay;
}

bool isPositive(evidence Evidence) {
  return Evidence == evidence::Succeeded || Evidence == evidence::Accepted;
}

} // namespace

std::string_view nameOf(evidence Evidence) {
  return Names.at(static_cast<size_t>(Evidence));
}

double gray_estimator::probabilityAt(boot_time Now) const {
  const double Age = std::chrono::duration<double>(Now - Updated).count();
  const double DecayTime =
      std::chrono::duration<double>(Settings.DecayTime).count();
  const double Retained = std::exp(-std::max(Age, 0.0) / DecayTime);
  if (!Episode)
    return Settings.Prior + (Probability - Settings.Prior) * Retained;
  const double SurvivedSoFar =
      std::max(survivalAt(Updated), 1 - MaxProbability);
  const double StillGray =
      Probability * std::min(survivalAt(Now) / SurvivedSoFar, 1.0);
  // It may have recovered and turned gray again since.
  return StillGray + (1 - StillGray) * Settings.Prior * (1 - Retained);
}

double gray_estimator::survivalAt(boot_time Now) const {
  const duration Age = Now - Episode->Since;
  return Episode->BeginningKnown ? Length->survival(Age)
                                 : Length->survivalSinceNoticed(Age);
}

void gray_estimator::updateEpisode(evidence Evidence, boot_time SentAt,
                                   boot_time Now) {
  const bool Failed = isImmediateReset(Evidence, Now - SentAt);
  if (Episode && Episode->BeginningKnown &&
      (Failed || Evidence == evidence::Succeeded))
    Length->observe(SentAt - Episode->Since, Failed);
  if (isPositive(Evidence) && Probability < RecoveredProbability)
    Episode.reset();
  const bool Begins = Failed && (!Episode || survivalAt(SentAt) < MinSurvival);
  if (!Begins)
    return;
  const bool SucceededBefore = LastPositive != boot_time() &&
                               SentAt - LastPositive <= RecentSuccessPeriod;
  Episode = episode{SentAt, SucceededBefore};
}

void gray_estimator::observe(evidence Evidence, boot_time SentAt,
                             boot_time Now) {
  if (isPositive(Evidence) && SentAt <= LastFailure)
    return;
  const likelihood &Likely = Likelihoods.at(static_cast<size_t>(Evidence));
  const double Before = probabilityAt(Now);
  const double IfGray = Before * Likely.IfGray;
  const double IfHealthy = (1 - Before) * Likely.IfHealthy;
  Probability = std::clamp(IfGray / (IfGray + IfHealthy), 1 - MaxProbability,
                           MaxProbability);
  Updated = Now;
  if (Length != nullptr)
    updateEpisode(Evidence, SentAt, Now);
  if (isPositive(Evidence))
    LastPositive = std::max(LastPositive, SentAt);
  else if (Evidence != evidence::Refused)
    LastFailure = Now;
}

} // namespace magnolia::placement
