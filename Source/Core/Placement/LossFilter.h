#pragma once

#include <string>
#include <vector>

#include "Placement/TargetSet.h"

namespace magnolia::placement {

/// When lost connections say nothing of the targets at their other ends.
struct loss_settings {
  /// Losses of this time are judged together.
  duration Window = std::chrono::milliseconds(4);
  /// So many targets, and at least this part of those that had a request of
  /// this instance: then the trouble is this instance's or its network's.
  size_t MinTargets = 3;
  double MinFraction = 0.25;
};

/// A connection that ended before a whole answer.
struct lost_connection {
  std::string RequestId;
  target_ref Target;
  boot_time SentAt;
};

/// Tells targets that reset requests from connections of this instance that are
/// reset all at once. Load pattern: half of the connections of some instances
/// are reset in one moment; taken for failures of the targets, that would keep
/// the whole fleet away from most of a service for seconds. Not thread-safe.
class loss_filter {
public:
  explicit loss_filter(const loss_settings &Settings) : Settings(Settings) {}

  /// True for the first one since take().
  bool add(lost_connection Lost);

  /// Those added since the last call that show something of their targets.
  /// \p InUse: targets that have a request of this instance now.
  std::vector<lost_connection> take(size_t InUse);

private:
  const loss_settings Settings;
  std::vector<lost_connection> Pending;
};

} // namespace magnolia::placement
