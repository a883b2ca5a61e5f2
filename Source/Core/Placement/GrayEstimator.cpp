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
    Names = {"succeeded",      "accepted", "broken",      "failed",
             "refused",        "stalled",  "unreachable", "timed_out",
             "succeeded_late", "draining"};

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
        {1.00, 1.00},  // TimedOut, not used
        {0.40, 0.97},  // SucceededLate
        {1.00, 1.00},  // Draining, not used
    }};

// The same where gray targets accept requests and never respond; what follows
// from the response times is in hangingLikelihood().
constexpr std::array<likelihood, static_cast<size_t>(evidence::Count)>
    LikelihoodsIfHanging = {{
        {0.25, 0.97},  // Succeeded
        {1.00, 1.00},  // Accepted, not used
        {0.20, 0.01},  // Broken
        {0.20, 0.015}, // Failed
        {0.20, 0.08},  // Refused
        {1.00, 1.00},  // Stalled, not used
        {0.80, 0.01},  // Unreachable
        {0.95, 0.25},  // TimedOut
        {1.00, 1.00},  // SucceededLate, not used
        {1.00, 1.00},  // Draining, not used
    }};
/// Fraction of its requests to which a hanging target never responds.
constexpr double HangingFraction = 0.75;

/// The likelihoods where gray targets hang. \p LateFraction: how often a target
/// that responds does so after the request has stalled.
likelihood hangingLikelihood(evidence Evidence, double LateFraction) {
  const double StalledIfGray =
      HangingFraction + (1 - HangingFraction) * LateFraction;
  if (Evidence == evidence::Stalled)
    return {StalledIfGray, LateFraction};
  // Given that the request had stalled, which counted already.
  if (Evidence == evidence::SucceededLate)
    return {(1 - HangingFraction) * LateFraction / StalledIfGray, 1.0};
  return LikelihoodsIfHanging.at(static_cast<size_t>(Evidence));
}

constexpr double MaxProbability = 0.995;
constexpr double MinProbability = 1 - MaxProbability;
/// Where gray targets hang, the last success is as old as the time that a
/// response takes, and the target may have turned gray since.
constexpr double MinProbabilityIfHanging = 0.02;
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
  return Evidence == evidence::Succeeded || Evidence == evidence::Accepted ||
         Evidence == evidence::SucceededLate;
}

bool isResponse(evidence Evidence) {
  return Evidence == evidence::Succeeded || Evidence == evidence::SucceededLate;
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
  const double SurvivedSoFar = std::max(survivalAt(Updated), MinProbability);
  const double StillGray =
      Probability * std::min(survivalAt(Now) / SurvivedSoFar, 1.0);
  // It may have recovered and turned gray again since.
  return StillGray + (1 - StillGray) * Settings.Prior * (1 - Retained);
}

double gray_estimator::survivalAt(boot_time Now) const {
  const duration Age = Now - Episode->Since;
  return Episode->BeginningKnown ? Pattern->Length.survival(Age)
                                 : Pattern->Length.survivalSinceNoticed(Age);
}

bool gray_estimator::isTypicalFailure(evidence Evidence,
                                      duration Elapsed) const {
  if (isImmediateReset(Evidence, Elapsed))
    return true;
  // Healthy targets stall a request now and then.
  return targetsHang() && Evidence == evidence::Stalled &&
         Probability >= Settings.Prior;
}

bool gray_estimator::isIgnored(evidence Evidence, boot_time SentAt) const {
  if (!targetsHang())
    return Evidence == evidence::TimedOut ||
           (isPositive(Evidence) && SentAt <= LastFailure);
  // The late response of the request that had stalled takes the stall back.
  return Evidence == evidence::Accepted ||
         (Evidence == evidence::Succeeded && SentAt <= LastFailure);
}

void gray_estimator::updateEpisode(evidence Evidence, boot_time SentAt,
                                   boot_time Now) {
  const bool Failed = isTypicalFailure(Evidence, Now - SentAt);
  if (Episode && Episode->BeginningKnown && (Failed || isResponse(Evidence)))
    Pattern->Length.observe(SentAt - Episode->Since, Failed);
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
  const bool Hung = Evidence == evidence::TimedOut;
  if (Pattern && (Hung || isImmediateReset(Evidence, Now - SentAt)))
    Pattern->Mode.observe(Hung);
  if (Pattern && isResponse(Evidence))
    Pattern->Mode.observeResponse(Evidence == evidence::SucceededLate);
  if (isIgnored(Evidence, SentAt))
    return;
  const likelihood Likely =
      targetsHang() ? hangingLikelihood(Evidence, Pattern->Mode.lateFraction())
                    : Likelihoods.at(static_cast<size_t>(Evidence));
  const double Before = probabilityAt(Now);
  const double IfGray = Before * Likely.IfGray;
  const double IfHealthy = (1 - Before) * Likely.IfHealthy;
  Probability = std::clamp(
      IfGray / (IfGray + IfHealthy),
      targetsHang() ? MinProbabilityIfHanging : MinProbability, MaxProbability);
  Updated = Now;
  if (Pattern != nullptr)
    updateEpisode(Evidence, SentAt, Now);
  if (isPositive(Evidence))
    LastPositive = std::max(LastPositive, SentAt);
  else if (Evidence != evidence::Refused && Evidence != evidence::TimedOut)
    LastFailure = Now;
}

} // namespace magnolia::placement
