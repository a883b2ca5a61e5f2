#include "Quota/ShareView.h"

#include <algorithm>

#include "Common/Digest.h"
#include "Quota/OwnerOrder.h"

namespace magnolia::quota {

namespace {

/// Makes the choice of the first owner independent of the partition.
constexpr uint64_t FirstOwnerSeed = 1;

} // namespace

std::vector<std::string> ownersOf(const share_view &View,
                                  std::string_view Workspace) {
  if (View.Partitions.empty())
    return {};
  const auto Count = static_cast<uint32_t>(View.Partitions.size());
  std::vector<std::string> Owners =
      View.Partitions[partitionOf(Workspace, Count)].Owners;
  if (Owners.empty())
    return Owners;
  const uint64_t First =
      common::stableHash(Workspace, FirstOwnerSeed) % Owners.size();
  std::rotate(Owners.begin(), Owners.begin() + static_cast<ptrdiff_t>(First),
              Owners.end());
  return Owners;
}

} // namespace magnolia::quota
