#pragma once

#include <cstdint>
#include <string_view>

#include "Target/Settings.h"

namespace magnolia::target {

/// The result of an attempt at a target.
enum class outcome : uint8_t {
  Success,
  /// The target responded with an error of its own.
  Error,
  /// The deadline passed without a response.
  Stall,
  /// The response ended before it was complete.
  HalfAnswer,
  /// No connection could be established.
  Unreachable,
  /// The target was busy or draining and did not run the request.
  RefusedNotRun,
  /// The response belonged to another request.
  Mismatched,
  /// No response had begun when a later attempt at another target was faster;
  /// the latency is a lower bound.
  Superseded,
  Count
};

/// The name of \p Outcome as metrics show it.
std::string_view nameOf(outcome Outcome);

/// Observations of one target, weighted by age. add() sums those of several
/// observers.
struct evidence_summary {
  /// Number of attempts.
  double Weight = 0;
  /// Number of attempts that failed.
  double Faults = 0;
  /// Number of responses whose latency was measured.
  double Responses = 0;
  /// Sum of the natural logarithms of those latencies in microseconds.
  double LogLatencySum = 0;
  /// Cumulative sum (CUSUM) of the evidence against the target minus the
  /// evidence for it; never below zero. Unlike the other sums it does not
  /// depend on how long the target was healthy before, so that it detects a
  /// change quickly.
  double Suspicion = 0;

  void add(const evidence_summary &Other);
  double faultRate() const { return Weight > 0 ? Faults / Weight : 0; }
  /// Mean logarithm of latency; zero without a response.
  double meanLogLatency() const {
    return Responses > 0 ? LogLatencySum / Responses : 0;
  }
};

/// Exponentially weighted observations of one target by one instance.
class evidence {
public:
  /// Records the end of one attempt; \p Median is the median latency of the
  /// service. A refusal as busy is no evidence of a fault.
  void observe(outcome Outcome, duration Latency, duration Median,
               boot_time Now, const settings &Settings);

  /// The sums as of \p Now; \p Stalled requests in flight count as failed.
  evidence_summary summarize(uint32_t Stalled, boot_time Now,
                             const settings &Settings) const;

  void reset() { *this = evidence(); }

private:
  evidence_summary aged(boot_time Now, const settings &Settings) const;

  evidence_summary Sums;
  boot_time UpdatedAt;
};

} // namespace magnolia::target
