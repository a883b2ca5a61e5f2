#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include <absl/base/thread_annotations.h>
#include <absl/container/flat_hash_map.h>
#include <absl/synchronization/mutex.h>

#include "Common/ShardedMap.h"

/// Request counters and latencies, exported in the Prometheus text format.
namespace magnolia::common {

/// One label of a sample.
struct metric_label {
  std::string_view Name;
  std::string Value;
};

/// One sample that is read when metrics are exported.
struct metric_sample {
  std::string_view Name;
  std::string_view Help;
  std::vector<metric_label> Labels;
  double Value = 0;
};

/// Collects the outcomes and latencies of requests. Thread-safe.
class metrics {
public:
  metrics();
  ~metrics();

  /// Counts a finished request; \p Outcome is "ok" or the name of its error.
  void countRequest(std::string_view Route, std::string_view Outcome,
                    std::chrono::microseconds Latency);

  /// Calls \p Read on each export, for values that are kept elsewhere.
  using reader = std::function<void(std::vector<metric_sample> &Samples)>;
  void addReader(reader Read);

  /// Exports all metrics in the text format.
  std::string write();

private:
  struct route_metrics;

  static void writeCounts(std::string &Text, const std::string &Route,
                          const route_metrics &Metrics);
  static void writeLatency(std::string &Text, const std::string &Route,
                           const route_metrics &Metrics);

  sharded_map<std::string, std::unique_ptr<route_metrics>> Routes;
  absl::Mutex Mutex;
  std::vector<reader> Readers ABSL_GUARDED_BY(Mutex);
};

} // namespace magnolia::common
