#pragma once

#include <chrono>
#include <cstdint>
#include <memory>

namespace magnolia::load {

/// A histogram of latencies from 10 us to 100 s with bins of about one percent.
class latency_histogram {
public:
  latency_histogram();
  ~latency_histogram();
  latency_histogram(latency_histogram &&) noexcept;
  latency_histogram &operator=(latency_histogram &&) noexcept;

  void add(std::chrono::microseconds Latency);
  void merge(const latency_histogram &Other);
  uint64_t count() const { return Count; }

  /// The upper edge of the bin that holds the \p Part quantile, in
  /// milliseconds; zero without samples.
  double quantileMs(double Part) const;

private:
  struct bins;

  std::unique_ptr<bins> Bins;
  uint64_t Count = 0;
};

} // namespace magnolia::load
