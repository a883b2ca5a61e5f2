#pragma once

#include <cstdint>
#include <string_view>

#include "Target/Settings.h"

namespace magnolia::target {

/// How an attempt at a target ended.
enum class outcome : uint8_t {
  Success,
  /// The target answered with an error of its own.
  Error,
  /// The deadline passed without an answer.
  Stall,
  /// The answer broke off.
  HalfAnswer,
  /// No connection came about.
  Unreachable,
  /// The target was busy or leaving and did not run the request.
  RefusedNotRun,
  /// The answer belonged to another request.
  Mismatched,
  Count
};

/// The name of \p Outcome as metrics show it.
std::string_view nameOf(outcome Outcome);

/// What has been seen of one target, weighted by age. Sums over several
/// observers are made by add().
struct evidence_summary {
  /// Number of attempts.
  double Weight = 0;
  /// Number of attempts that failed.
  double Faults = 0;
  /// Number of answers whose latency was taken.
  double Responses = 0;
  /// Sum of the natural logarithms of those latencies in microseconds.
  double LogLatencySum = 0;
  /// Cumulative sum of what speaks against the target, less what speaks for
  /// it; never below zero. Unlike the other sums it is not diluted by how long
  /// the target was healthy before, so that it detects a change soon.
  double Suspicion = 0;

  void add(const evidence_summary &Other);
  double faultRate() const { return Weight > 0 ? Faults / Weight : 0; }
  /// Mean logarithm of latency; zero without an answer.
  double meanLogLatency() const {
    return Responses > 0 ? LogLatencySum / Responses : 0;
  }
};

/// Exponentially weighted observations of one target by one instance.
class evidence {
public:
  /// Takes the end of one attempt at a target of a service with \p Median
  /// latency. Busy refusals are no evidence of a fault.
  void observe(outcome Outcome, duration Latency, duration Median,
               boot_time Now, const settings &Settings);

  /// The sums as of \p Now; \p Stalled requests in flight count as failed.
  evidence_summary summarize(uint32_t Stalled, boot_time Now,
                             const settings &Settings) const;

  void reset() { *this = evidence(); }

private:
  evidence_summary aged(boot_time Now, const settings &Settings) const;

  evidence_summary Sums;
  boot_time Updated;
};

} // namespace magnolia::target
