#include "Target/Outlier.h"

#include <algorithm>
#include <cmath>

namespace magnolia::target {
namespace {

/// Multiple of the median suspicion that an outlier must exceed, so that random
/// differences in a common slowdown mark none.
constexpr double CommonFactor = 2;

/// The lower median, so that of two targets the better one is the reference.
double lowerMedian(std::vector<double> Values) {
  if (Values.empty())
    return 0;
  const auto Middle =
      Values.begin() + static_cast<std::ptrdiff_t>((Values.size() - 1) / 2);
  std::nth_element(Values.begin(), Middle, Values.end());
  return *Middle;
}

double medianSuspicion(absl::Span<const evidence_summary> Targets) {
  std::vector<double> Values;
  for (const evidence_summary &Target : Targets)
    if (Target.Weight > 0)
      Values.push_back(Target.Suspicion);
  return lowerMedian(std::move(Values));
}

double medianLogLatency(absl::Span<const evidence_summary> Targets) {
  std::vector<double> Latencies;
  for (const evidence_summary &Target : Targets)
    if (Target.Responses > 0)
      Latencies.push_back(Target.meanLogLatency());
  return lowerMedian(std::move(Latencies));
}

} // namespace

std::vector<double> outlierScores(absl::Span<const evidence_summary> Targets,
                                  const settings &Settings) {
  // Suspicion that most targets share raises the threshold for all of them.
  const double Common = CommonFactor * medianSuspicion(Targets);
  std::vector<double> Scores;
  Scores.reserve(Targets.size());
  for (const evidence_summary &Target : Targets)
    Scores.push_back((Target.Suspicion - Common) / Settings.Threshold);
  return Scores;
}

duration medianLatency(absl::Span<const evidence_summary> Targets) {
  const double Median = medianLogLatency(Targets);
  return duration(Median > 0 ? std::llround(std::exp(Median)) : 0);
}

} // namespace magnolia::target
