#pragma once

#include <map>
#include <string>
#include <vector>

#include "MagnoliaLoad/EjectionWatch.h"
#include "MagnoliaLoad/Experiment.h"
#include "MagnoliaLoad/Latency.h"

namespace magnolia::load {

/// How the calls of one workspace ended, without those of the warm-up.
struct workspace_result {
  uint64_t Sent = 0;
  /// Those that the reference bucket admits.
  uint64_t WithinRate = 0;
  uint64_t Succeeded = 0;
  /// Refused for the rate, and those of them within it.
  uint64_t RateRefused = 0;
  uint64_t RateRefusedWithin = 0;
  /// Ends other than success by error kind and what it says of having run.
  std::map<std::pair<std::string, std::string>, uint64_t> Failures;
  /// Of successes, from the intended time of sending.
  latency_histogram Latency;
  /// From the intended time to the time of sending.
  latency_histogram Lateness;

  void merge(const workspace_result &Other);

  /// Requests within the rate that a fleet with one ideal bucket would have
  /// admitted beyond those that were. A workspace beyond its rate may have
  /// other requests admitted than the reference has, so that only the number
  /// counts.
  uint64_t wronglyRefused() const;

  /// Successes over the requests that the workspace had a right to.
  double successRatio() const;
};

struct run_result {
  /// In the order of the experiment; one more for direct calls, if any.
  std::vector<workspace_result> Workspaces;
  std::vector<detection> Detections;
  std::vector<std::string> FalseEjections;
  bool SawMetrics = false;
  uint64_t DirectoryFailures = 0;
  uint64_t EventFailures = 0;
  double ElapsedSeconds = 0;
};

/// Runs \p Experiment to its end.
run_result runExperiment(const experiment &Experiment);

} // namespace magnolia::load
