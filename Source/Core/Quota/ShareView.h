#pragma once

#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "Quota/Amount.h"

namespace magnolia::quota {

/// The content of the share rows of one partition of workspaces.
struct partition_view {
  /// Slots that this instance holds and may use.
  uint32_t Held = 0;
  /// When this instance last gained or lost a slot; a workspace without an
  /// account earns from then on only.
  common::boot_time Since = common::boot_time::min();
  /// When this instance last lost a slot; all earlier rights are void.
  common::boot_time LostAt = common::boot_time::min();
  /// Instances that hold slots.
  std::vector<std::string> Owners;
};

/// An instance's view of the share rows. Each slot of a partition stands for
/// the same part of the rate and burst of its workspaces.
struct share_view {
  /// Number of slots of each partition.
  uint32_t SlotCount = 1;
  std::vector<partition_view> Partitions;
};

using share_view_ptr = std::shared_ptr<const share_view>;

/// The owners of a workspace's shares in the order in which callers should use
/// them. Workspaces of one partition start at different owners.
std::vector<std::string> ownersOf(const share_view &View,
                                  std::string_view Workspace);

} // namespace magnolia::quota
