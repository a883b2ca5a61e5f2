#pragma once

#include <string>
#include <vector>

#include "Placement/TargetSet.h"

namespace magnolia::placement {

/// Decides when lost connections are not evidence against their targets.
struct loss_settings {
  /// Time from the first loss to the call of take(), which judges all losses of
  /// that time together. The filter reads no clock; its owner calls take().
  duration Window = std::chrono::milliseconds(4);
  /// Losses of at least this many targets, and of at least this fraction of the
  /// targets with a request of this instance, are a fault of this instance or
  /// its network.
  size_t MinTargets = 3;
  double MinFraction = 0.25;
};

/// A connection that ended before a complete response.
struct lost_connection {
  std::string RequestId;
  target_ref Target;
  boot_time SentAt;
  /// Equal for requests that ask the same of a target.
  uint64_t Fingerprint = 0;
  /// It may be sent to another target.
  bool MayBeSentAgain = false;
};

/// Separates resets by single targets from resets of many connections of this
/// instance at the same time. Load pattern: half of the connections of some
/// instances are reset at once; counted as failures of the targets, they would
/// make the whole fleet avoid most of a service for seconds. Not thread-safe.
class loss_filter {
public:
  explicit loss_filter(const loss_settings &Settings) : Settings(Settings) {}

  /// Returns whether it is the first one since take(); then take() has to be
  /// called after Window.
  bool add(lost_connection Lost);

  /// Removes and returns the losses since the last call, or nothing if they are
  /// not evidence against their targets. \p InUse: number of targets that have
  /// a request of this instance now, counted in addition to those of the
  /// losses.
  std::vector<lost_connection> take(size_t InUse);

private:
  const loss_settings Settings;
  std::vector<lost_connection> Pending;
};

} // namespace magnolia::placement
