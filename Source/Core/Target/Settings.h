#pragma once

#include <cstdint>

#include "Common/Time.h"

/// Selection of the target that runs a request: outlier detection from passive
/// observations and peers' digests, ejection limited by a service's floor,
/// draining, load balancing.
namespace magnolia::target {

using common::boot_time;
using duration = common::boot_clock::duration;

/// Settings that trade the detection time of gray targets against false
/// ejections of healthy ones.
struct settings {
  /// Age at which the weight of an observation is halved.
  duration HalfLife = std::chrono::seconds(8);
  /// Suspicion at which a target is an outlier: a higher value means fewer
  /// false ejections but slower detection. See evidence_summary.
  double Threshold = 10;
  /// Time after which suspicion is halved without an observation.
  duration SuspicionHalfLife = std::chrono::seconds(30);
  /// Responses slower than this multiple of the service's median latency raise
  /// suspicion, others lower it.
  double LatencyRatio = 2.5;
  /// Minimum difference to the median latency that counts as slow.
  duration LatencyExcess = std::chrono::milliseconds(5);
  /// Suspicion rises in the long run when a larger fraction of requests fails.
  double FaultRate = 0.2;
  /// Number of attempts that a failure domain must have seen to count a target
  /// as working.
  double MinimumWeight = 4;
  /// Minimum age at which a request without a response counts as a stall ...
  duration StallAge = std::chrono::milliseconds(400);
  /// ... and at this multiple of the service's median latency.
  double StallRatio = 8;
  /// Minimum time between two evaluations of a service's targets.
  duration EvaluationPeriod = std::chrono::milliseconds(100);
  /// Time for which a target is avoided before its first return; doubles with
  /// each return that fails, up to MaxBackOff.
  duration BackOff = std::chrono::seconds(5);
  duration MaxBackOff = std::chrono::minutes(2);
  /// A target that stayed healthy this long starts at the first back-off again.
  duration BackOffReset = std::chrono::minutes(5);
  /// Successful responses of a returning target after which it counts as
  /// healthy.
  uint32_t ResponsesToRecover = 6;
  /// Peers' evidence older than this is not used.
  duration DigestLifetime = std::chrono::seconds(5);
  /// How long a fleet-wide ejection holds unless it is published again.
  duration EjectionTerm = std::chrono::seconds(3);
  /// Maximum number of reports in one digest.
  uint32_t MaxReportsPerDigest = 256;
  /// A target that refused a request as busy has low priority for this long.
  duration BusyHold = std::chrono::milliseconds(50);
  /// A drained target is probed this long after its drain mark was last
  /// updated.
  duration DrainProbeAfter = std::chrono::seconds(30);

  /// Fewer false ejections, slower detection.
  static settings fewFalseEjections();

  /// Faster detection, more false ejections.
  static settings fastDetection();
};

} // namespace magnolia::target
