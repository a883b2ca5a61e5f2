#include "Placement/EpisodeLength.h"

#include <algorithm>
#include <cmath>
#include <numeric>

#include <absl/types/span.h>

namespace magnolia::placement {
namespace {

/// Ages and candidate lengths are multiples of this many seconds.
constexpr double StepSeconds = 0.5;
/// Mean and standard deviation of the prior distribution of lengths.
constexpr double PriorMeanSeconds = 10;
constexpr double PriorDeviationSeconds = 2.5;
/// Probability that a request fails during an episode and after it.
constexpr double FailureRateDuring = 0.75;
constexpr double FailureRateAfter = 0.05;
/// Weight of one result, below one because requests to one target in one
/// episode are not independent of each other.
constexpr double SampleWeight = 0.5;
/// Factor by which each new result reduces the weight of the earlier ones: a
/// result counts for about the next fifty, since lengths change.
constexpr double SampleRetention = 0.98;

double lengthAt(size_t Index) {
  return StepSeconds * static_cast<double>(Index + 1);
}

double ageAt(size_t Index) { return StepSeconds * static_cast<double>(Index); }

double secondsOf(duration Duration) {
  return std::chrono::duration<double>(Duration).count();
}

double interpolate(absl::Span<const double> Table, duration Age) {
  const double Position = std::max(secondsOf(Age), 0.0) / StepSeconds;
  const auto Index = static_cast<size_t>(Position);
  if (Index + 1 >= Table.size())
    return Table.back();
  const double Fraction = Position - static_cast<double>(Index);
  return Table[Index] + Fraction * (Table[Index + 1] - Table[Index]);
}

} // namespace

episode_length::episode_length() { tabulate(); }

double episode_length::survival(duration Age) const {
  return interpolate(SurvivalSinceStart, Age);
}

double episode_length::survivalSinceNoticed(duration Age) const {
  return interpolate(SurvivalSinceNoticed, Age);
}

void episode_length::observe(duration Age, bool Failed) {
  const double Seconds = secondsOf(Age);
  for (size_t Index = 0; Index < Candidates; ++Index) {
    const double FailureRate =
        Seconds < lengthAt(Index) ? FailureRateDuring : FailureRateAfter;
    LogLikelihood[Index] =
        SampleRetention * LogLikelihood[Index] +
        SampleWeight * std::log(Failed ? FailureRate : 1 - FailureRate);
  }
  tabulate();
}

void episode_length::tabulate() {
  table Probability;
  const double MaxLogLikelihood =
      *std::max_element(LogLikelihood.begin(), LogLikelihood.end());
  for (size_t Index = 0; Index < Candidates; ++Index) {
    const double Deviation =
        (lengthAt(Index) - PriorMeanSeconds) / PriorDeviationSeconds;
    Probability[Index] = std::exp(LogLikelihood[Index] - MaxLogLikelihood -
                                  Deviation * Deviation / 2);
  }
  const double Total =
      std::accumulate(Probability.begin(), Probability.end(), 0.0);
  for (size_t AgeIndex = 0; AgeIndex < Candidates; ++AgeIndex) {
    const double Age = ageAt(AgeIndex);
    SurvivalSinceStart[AgeIndex] = 0;
    SurvivalSinceNoticed[AgeIndex] = 0;
    for (size_t Index = AgeIndex; Index < Candidates; ++Index) {
      const double Fraction = Probability[Index] / Total;
      SurvivalSinceStart[AgeIndex] += Fraction;
      SurvivalSinceNoticed[AgeIndex] += Fraction * (1 - Age / lengthAt(Index));
    }
  }
}

} // namespace magnolia::placement
