#include "Placement/GrayBelief.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace magnolia::placement {
namespace {

/// How likely a piece of evidence is.
struct likelihood {
  double FromGray;
  double FromSound;
};

// In the order of evidence.
constexpr std::array<std::string_view, static_cast<size_t>(evidence::Count)>
    Names = {"succeeded", "accepted", "broken",     "failed",
             "refused",   "stalled",  "unreachable"};

// In the order of evidence. Sound targets fail about one request in a hundred
// by themselves and are refused or slow more often than that under load. Gray
// ones rather reset requests than answer that they failed.
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

constexpr double Surest = 0.995;
/// An episode is over when the target is gray with less than this probability,
/// or hardly any lasts as long.
constexpr double RecoveredBelow = 0.25;
constexpr double HardlyAny = 0.1;
/// Gray targets reset requests at once. What breaks later was taken, and shows
/// nothing of the time to come.
constexpr std::chrono::milliseconds TurnedAwayWithin{250};
/// A success this long before a failure shows when the episode began.
constexpr std::chrono::milliseconds SoundJustBefore{2000};

bool turnedAway(evidence Evidence, duration Took) {
  return Evidence == evidence::Broken && Took <= TurnedAwayWithin;
}

bool isGood(evidence Evidence) {
  return Evidence == evidence::Succeeded || Evidence == evidence::Accepted;
}

} // namespace

std::string_view nameOf(evidence Evidence) {
  return Names.at(static_cast<size_t>(Evidence));
}

double gray_belief::probabilityAt(boot_time Now) const {
  const double Age = std::chrono::duration<double>(Now - Updated).count();
  const double Memory = std::chrono::duration<double>(Settings.Memory).count();
  const double Kept = std::exp(-std::max(Age, 0.0) / Memory);
  if (!Episode)
    return Settings.Prior + (Gray - Settings.Prior) * Kept;
  const double Lasted = std::max(survivalAt(Updated), 1 - Surest);
  const double Still = Gray * std::min(survivalAt(Now) / Lasted, 1.0);
  // It may have recovered and turned gray again since.
  return Still + (1 - Still) * Settings.Prior * (1 - Kept);
}

double gray_belief::survivalAt(boot_time Now) const {
  const duration Age = Now - Episode->Since;
  return Episode->BeginningKnown ? Length->survival(Age)
                                 : Length->survivalSinceNoticed(Age);
}

void gray_belief::followEpisode(evidence Evidence, boot_time SentAt,
                                boot_time Now) {
  const bool Failed = turnedAway(Evidence, Now - SentAt);
  if (Episode && Episode->BeginningKnown &&
      (Failed || Evidence == evidence::Succeeded))
    Length->observe(SentAt - Episode->Since, Failed);
  if (isGood(Evidence) && Gray < RecoveredBelow)
    Episode.reset();
  const bool Begins = Failed && (!Episode || survivalAt(SentAt) < HardlyAny);
  if (!Begins)
    return;
  const bool SoundBefore =
      LastGood != boot_time() && SentAt - LastGood <= SoundJustBefore;
  Episode = episode{SentAt, SoundBefore};
}

void gray_belief::observe(evidence Evidence, boot_time SentAt, boot_time Now) {
  if (isGood(Evidence) && SentAt <= LastFailure)
    return;
  const likelihood &Likely = Likelihoods.at(static_cast<size_t>(Evidence));
  const double Before = probabilityAt(Now);
  const double FromGray = Before * Likely.FromGray;
  const double FromSound = (1 - Before) * Likely.FromSound;
  Gray = std::clamp(FromGray / (FromGray + FromSound), 1 - Surest, Surest);
  Updated = Now;
  if (Length != nullptr)
    followEpisode(Evidence, SentAt, Now);
  if (isGood(Evidence))
    LastGood = std::max(LastGood, SentAt);
  else if (Evidence != evidence::Refused)
    LastFailure = Now;
}

} // namespace magnolia::placement
