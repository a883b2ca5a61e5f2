#include "Placement/EpisodeLength.h"

#include <algorithm>
#include <cmath>
#include <numeric>

#include <absl/types/span.h>

namespace magnolia::placement {
namespace {

/// Ages and candidate lengths are multiples of this many seconds.
constexpr double Step = 0.5;
/// Mean and standard deviation before anything was seen, in seconds.
constexpr double ExpectedLength = 10;
constexpr double ExpectedSpread = 2.5;
/// How likely a request fails within an episode and after it.
constexpr double FailsWithin = 0.75;
constexpr double FailsAfter = 0.05;
/// Requests to one target in one episode are not independent of each other.
constexpr double Weight = 0.5;
/// What a request showed counts for the next fifty or so, since lengths change.
constexpr double Kept = 0.98;

double lengthAt(size_t Index) { return Step * static_cast<double>(Index + 1); }

double ageAt(size_t Index) { return Step * static_cast<double>(Index); }

double secondsOf(duration Duration) {
  return std::chrono::duration<double>(Duration).count();
}

double interpolate(absl::Span<const double> Table, duration Age) {
  const double Position = std::max(secondsOf(Age), 0.0) / Step;
  const auto Index = static_cast<size_t>(Position);
  if (Index + 1 >= Table.size())
    return Table.back();
  const double Part = Position - static_cast<double>(Index);
  return Table[Index] + Part * (Table[Index + 1] - Table[Index]);
}

} // namespace

episode_length::episode_length() { tabulate(); }

double episode_length::survival(duration Age) const {
  return interpolate(Begun, Age);
}

double episode_length::survivalSinceNoticed(duration Age) const {
  return interpolate(Noticed, Age);
}

void episode_length::observe(duration Age, bool Failed) {
  const double Seconds = secondsOf(Age);
  for (size_t Index = 0; Index < Candidates; ++Index) {
    const double Fails = Seconds < lengthAt(Index) ? FailsWithin : FailsAfter;
    Evidence[Index] =
        Kept * Evidence[Index] + Weight * std::log(Failed ? Fails : 1 - Fails);
  }
  tabulate();
}

void episode_length::tabulate() {
  table Probability;
  const double Most = *std::max_element(Evidence.begin(), Evidence.end());
  for (size_t Index = 0; Index < Candidates; ++Index) {
    const double Off = (lengthAt(Index) - ExpectedLength) / ExpectedSpread;
    Probability[Index] = std::exp(Evidence[Index] - Most - Off * Off / 2);
  }
  const double Whole =
      std::accumulate(Probability.begin(), Probability.end(), 0.0);
  for (size_t AgeIndex = 0; AgeIndex < Candidates; ++AgeIndex) {
    const double Age = ageAt(AgeIndex);
    Begun[AgeIndex] = 0;
    Noticed[AgeIndex] = 0;
    for (size_t Index = AgeIndex; Index < Candidates; ++Index) {
      const double Part = Probability[Index] / Whole;
      Begun[AgeIndex] += Part;
      Noticed[AgeIndex] += Part * (1 - Age / lengthAt(Index));
    }
  }
}

} // namespace magnolia::placement
