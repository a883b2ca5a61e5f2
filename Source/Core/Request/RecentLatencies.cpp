#include "Request/RecentLatencies.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace magnolia::request {
namespace {

constexpr double Median = 0.5;

/// The smallest of \p Samples that the fraction \p Quantile does not exceed.
uint32_t quantileOf(std::vector<uint32_t> Samples, double Quantile) {
  const auto Rank = static_cast<size_t>(
      std::ceil(Quantile * static_cast<double>(Samples.size())));
  const size_t Index = std::clamp<size_t>(Rank, 1, Samples.size()) - 1;
  const auto At = Samples.begin() + static_cast<ptrdiff_t>(Index);
  std::nth_element(Samples.begin(), At, Samples.end());
  return *At;
}

} // namespace

void recent_latencies::add(std::chrono::microseconds Latency) {
  const auto Sample = static_cast<uint32_t>(std::clamp<int64_t>(
      Latency.count(), 0, std::numeric_limits<uint32_t>::max()));
  if (Samples.size() < Kept) {
    Samples.push_back(Sample);
    return;
  }
  Samples[Next] = Sample;
  Next = (Next + 1) % Kept;
}

std::optional<std::chrono::microseconds>
recent_latencies::quantile(double Quantile) const {
  if (Samples.size() < MinSamples)
    return std::nullopt;
  return std::chrono::microseconds(quantileOf(Samples, Quantile));
}

double recent_latencies::medianRise() const {
  if (Samples.size() < 2 * Recent)
    return 1;
  std::vector<uint32_t> Last;
  for (size_t Age = 1; Age <= Recent; ++Age)
    Last.push_back(Samples[(Next + Samples.size() - Age) % Samples.size()]);
  const double Usual = std::max<uint32_t>(quantileOf(Samples, Median), 1);
  return quantileOf(std::move(Last), Median) / Usual;
}

} // namespace magnolia::request
