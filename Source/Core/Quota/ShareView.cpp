#include "Quota/ShareView.h"

#include <algorithm>

#include "Common/Digest.h"
#include "Quota/HomeOrder.h"

namespace magnolia::quota {

namespace {

/// Makes the choice of the first home independent of the partition.
constexpr uint64_t FirstHomeSeed = 1;

} // namespace

std::vector<std::string> homesOf(const share_view &View,
                                 std::string_view Workspace) {
  if (View.Partitions.empty())
    return {};
  const auto Count = static_cast<uint32_t>(View.Partitions.size());
  std::vector<std::string> Homes =
      View.Partitions[partitionOf(Workspace, Count)].Homes;
  if (Homes.empty())
    return Homes;
  const uint64_t First =
      common::stableHash(Workspace, FirstHomeSeed) % Homes.size();
  std::rotate(Homes.begin(), Homes.begin() + static_cast<ptrdiff_t>(First),
              Homes.end());
  return Homes;
}

} // namespace magnolia::quota
