#pragma once

#include <cstdint>

#include "Common/Time.h"

/// Which target runs a request: outlier detection from passive evidence and
/// peers' digests, ejection bounded by a service's floor, draining, choice.
namespace magnolia::target {

using common::boot_time;
using duration = common::boot_clock::duration;

/// What decides how soon a gray target is seen and how often a healthy one is
/// mistaken for it. The named points are taken from the measured curve.
struct settings {
  /// Age at which an observation counts half.
  duration HalfLife = std::chrono::seconds(8);
  /// Suspicion at which a target is an outlier: the point on the curve of
  /// detection time against false ejections. See evidence_summary.
  double Threshold = 10;
  /// Age at which suspicion halves without an observation.
  duration SuspicionHalfLife = std::chrono::seconds(30);
  /// Answers that are slower than this multiple of the service's median
  /// latency raise suspicion, others lower it.
  double LatencyRatio = 2.5;
  /// Least difference to the median latency that counts as slow.
  duration LatencyExcess = std::chrono::milliseconds(5);
  /// Suspicion rises in the long run when a larger part of requests fails.
  double FaultRate = 0.2;
  /// A failure domain that saw fewer attempts does not vouch for a target.
  double MinimumWeight = 4;
  /// An unanswered request counts as a stall at this age at the earliest ...
  duration StallAge = std::chrono::milliseconds(400);
  /// ... and at this multiple of the service's median latency.
  double StallRatio = 8;
  /// How often a service's targets are judged anew.
  duration EvaluationPeriod = std::chrono::milliseconds(100);
  /// How long an avoided target rests before its first return; doubles with
  /// each return that fails, up to the longest.
  duration BackOff = std::chrono::seconds(5);
  duration MaxBackOff = std::chrono::minutes(2);
  /// A target that stayed healthy this long starts at the first back-off again.
  duration BackOffReset = std::chrono::minutes(5);
  /// Answers that a returning target must give before it counts as healthy.
  uint32_t ResponsesToRecover = 6;
  /// Peers' evidence older than this is not used.
  duration DigestLifetime = std::chrono::seconds(5);
  /// How long a fleet-wide ejection holds unless it is published again.
  duration EjectionTerm = std::chrono::seconds(3);
  /// Reports that one digest carries at most.
  uint32_t MaxReportsPerDigest = 256;
  /// A target that refused work as busy is asked last for this long.
  duration BusyHold = std::chrono::milliseconds(50);
  /// A drained target is probed this long after its drain mark was last heard.
  duration DrainProbeAfter = std::chrono::seconds(30);

  /// Rarely mistakes a healthy target for a gray one.
  static settings fewFalseEjections();

  /// Sees a gray target soon.
  static settings fastDetection();
};

} // namespace magnolia::target
