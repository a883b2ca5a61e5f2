#include "Placement/LossFilter.h"

#include <utility>

#include <absl/container/flat_hash_set.h>

namespace magnolia::placement {

bool loss_filter::add(lost_connection Lost) {
  Pending.push_back(std::move(Lost));
  return Pending.size() == 1;
}

std::vector<lost_connection> loss_filter::take(size_t InUse) {
  std::vector<lost_connection> Losses = std::exchange(Pending, {});
  absl::flat_hash_set<target_key> Targets;
  for (const lost_connection &Lost : Losses)
    Targets.insert(Lost.Target->Key);
  const auto Count = static_cast<double>(Targets.size());
  const double Total = Count + static_cast<double>(InUse);
  if (Targets.size() >= Settings.MinTargets &&
      Count >= Settings.MinFraction * Total)
    return {};
  return Losses;
}

} // namespace magnolia::placement
