#pragma once

#include <chrono>
#include <cstddef>
#include <memory>
#include <optional>

namespace magnolia::request {

/// Estimates one quantile of recent latencies in constant memory: the estimate
/// comes from the last full window of samples. Not thread-safe.
class latency_quantile {
public:
  /// \p Quantile lies in (0, 1); \p WindowSize is a number of samples.
  latency_quantile(double Quantile, size_t WindowSize);
  ~latency_quantile();
  latency_quantile(latency_quantile &&) noexcept;
  latency_quantile &operator=(latency_quantile &&) noexcept;

  void add(std::chrono::microseconds Latency);

  /// Absent until the first window is full.
  std::optional<std::chrono::microseconds> estimate() const { return Estimate; }

private:
  struct window;

  double Quantile;
  size_t WindowSize;
  std::unique_ptr<window> Window;
  std::optional<std::chrono::microseconds> Estimate;
};

} // namespace magnolia::request
