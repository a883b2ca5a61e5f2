#include "Fleet/TargetLimits.h"

#include <algorithm>

namespace magnolia::fleet {

bool target_limits::state(placement::target_key Target,
                          std::optional<double> PerSecond, boot_time Now) {
  if (!PerSecond && !Limits.contains(Target))
    return false;
  limit &Limit = Limits[Target];
  const bool Changed = Limit.PerSecond != PerSecond;
  Limit.PerSecond = PerSecond;
  Limit.SaidAt = Now;
  return Changed;
}

std::optional<double>
target_limits::limitOf(placement::target_key Target) const {
  const auto Found = Limits.find(Target);
  return Found == Limits.end() ? std::nullopt : Found->second.PerSecond;
}

size_t target_limits::limitedCount() const {
  return static_cast<size_t>(
      std::count_if(Limits.begin(), Limits.end(), [](const auto &Entry) {
        return Entry.second.PerSecond.has_value();
      }));
}

} // namespace magnolia::fleet
