#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "MagnoliaLoad/Caller.h"
#include "MagnoliaLoad/Experiment.h"

namespace magnolia::load {

/// How one gray target was detected.
struct detection {
  std::string Target;
  microseconds GraySince{0};
  /// When the first instance avoided it or had it ejected; absent when none
  /// had.
  std::optional<microseconds> EjectedAt;
};

/// Follows in the instances' metrics which targets are left out: avoided by one
/// instance or ejected by all.
class ejection_watch {
public:
  explicit ejection_watch(const experiment &Experiment);

  /// Reads the metrics of every instance. Called by one thread.
  void poll(microseconds Now);

  /// Takes the metrics page of one instance.
  void observe(const std::string &Metrics, microseconds Now);

  /// Every gray target of the experiment's events, in their order.
  std::vector<detection> detections() const;

  /// Targets that were left out before they were gray, or without ever being.
  std::vector<std::string> falseEjections() const;

  /// Whether any instance served its metrics.
  bool sawMetrics() const { return SawMetrics; }

private:
  const experiment &Experiment;
  caller Client;
  bool SawMetrics = false;
  std::map<std::string, microseconds> FirstEjection;
  std::map<std::string, microseconds> GraySince;
};

} // namespace magnolia::load
