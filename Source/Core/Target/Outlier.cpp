#include "Target/Outlier.h"

#include <algorithm>
#include <cmath>

namespace magnolia::target {
namespace {

/// Standard deviation of the logarithm of one latency, that of an exponential
/// distribution.
constexpr double LogLatencySpread = 1.28;

/// The lower median, so that of two targets the better one is the norm.
double lowerMedian(std::vector<double> Values) {
  if (Values.empty())
    return 0;
  const auto Middle =
      Values.begin() + static_cast<std::ptrdiff_t>((Values.size() - 1) / 2);
  std::nth_element(Values.begin(), Middle, Values.end());
  return *Middle;
}

double medianFaultRate(absl::Span<const evidence_summary> Targets) {
  std::vector<double> Rates;
  for (const evidence_summary &Target : Targets)
    if (Target.Weight > 0)
      Rates.push_back(Target.faultRate());
  return lowerMedian(std::move(Rates));
}

double medianLogLatency(absl::Span<const evidence_summary> Targets) {
  std::vector<double> Latencies;
  for (const evidence_summary &Target : Targets)
    if (Target.Answers > 0)
      Latencies.push_back(Target.meanLogLatency());
  return lowerMedian(std::move(Latencies));
}

double faultScore(const evidence_summary &Target, double Median,
                  const settings &Settings) {
  const double Expected = Median * Target.Weight;
  const double Certain =
      Target.Faults - Settings.Confidence * std::sqrt(Expected + 1);
  const double Threshold = (Median + Settings.FaultRate) * Target.Weight;
  return Threshold > 0 ? Certain / Threshold : 0;
}

double latencyScore(const evidence_summary &Target, double Median,
                    const settings &Settings) {
  if (Target.Answers <= 0)
    return 0;
  const double Mean = Target.meanLogLatency();
  const double Excess = std::exp(Mean) - std::exp(Median);
  if (Excess < static_cast<double>(Settings.LatencyExcess.count()))
    return 0;
  const double Error =
      Settings.Confidence * LogLatencySpread / std::sqrt(Target.Answers);
  return std::exp(Mean - Median - Error) / Settings.LatencyRatio;
}

} // namespace

std::vector<double> outlierScores(absl::Span<const evidence_summary> Targets,
                                  const settings &Settings) {
  const double FaultMedian = medianFaultRate(Targets);
  const double LatencyMedian = medianLogLatency(Targets);
  std::vector<double> Scores(Targets.size(), 0);
  for (size_t I = 0; I < Targets.size(); ++I) {
    if (Targets[I].Weight < Settings.MinimumWeight)
      continue;
    Scores[I] = std::max(faultScore(Targets[I], FaultMedian, Settings),
                         latencyScore(Targets[I], LatencyMedian, Settings));
  }
  return Scores;
}

duration medianLatency(absl::Span<const evidence_summary> Targets) {
  const double Median = medianLogLatency(Targets);
  return duration(Median > 0 ? std::llround(std::exp(Median)) : 0);
}

} // namespace magnolia::target
