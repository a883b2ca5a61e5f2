#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace magnolia::request {

/// The last latencies of one kind of request, for estimates from few samples;
/// latency_quantile is for many. Not thread-safe.
class recent_latencies {
public:
  /// Samples that are kept.
  static constexpr size_t Kept = 128;
  /// There are no estimates from fewer samples.
  static constexpr size_t MinSamples = 16;
  /// Samples of the recent median.
  static constexpr size_t Recent = 16;

  void add(std::chrono::microseconds Latency);

  /// The latency that the fraction \p Quantile of the kept samples does not
  /// exceed, if there are MinSamples. \p Quantile lies in (0, 1).
  std::optional<std::chrono::microseconds> quantile(double Quantile) const;

  /// The median of the last samples, divided by the median of all; one while
  /// there are not twice as many.
  double medianRise() const;

  size_t size() const { return Samples.size(); }

private:
  /// In microseconds; a ring once it is full.
  std::vector<uint32_t> Samples;
  size_t Next = 0;
};

} // namespace magnolia::request
