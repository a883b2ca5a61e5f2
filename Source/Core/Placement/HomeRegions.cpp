#include "Placement/HomeRegions.h"

#include <algorithm>

namespace magnolia::placement {

bool domain_filter::allows(const std::string &FailureDomain) const {
  return !Allowed || std::find(Allowed->begin(), Allowed->end(),
                               FailureDomain) != Allowed->end();
}

bool region_map::isIn(const std::string &FailureDomain,
                      absl::Span<const std::string> Regions) const {
  if (Regions.empty())
    return true;
  const auto Found = RegionOf.find(FailureDomain);
  return Found != RegionOf.end() && std::find(Regions.begin(), Regions.end(),
                                              Found->second) != Regions.end();
}

domain_filter
region_map::domainsIn(absl::Span<const std::string> RouteHomes,
                      absl::Span<const std::string> WorkspaceHomes) const {
  if (RouteHomes.empty() && WorkspaceHomes.empty())
    return {};
  std::vector<std::string> Allowed;
  for (const auto &[FailureDomain, Region] : RegionOf)
    if (isIn(FailureDomain, RouteHomes) && isIn(FailureDomain, WorkspaceHomes))
      Allowed.push_back(FailureDomain);
  return domain_filter(std::move(Allowed));
}

domain_filter
region_map::domainsForCaller(absl::Span<const std::vector<std::string>> Homes,
                             std::string Region,
                             const std::string &FailureDomain) const {
  if (Homes.empty())
    return {};
  if (const auto Own = RegionOf.find(FailureDomain);
      Region.empty() && Own != RegionOf.end())
    Region = Own->second;
  std::vector<std::string> Allowed;
  for (const auto &Entry : RegionOf) {
    const bool InAllHomes =
        std::all_of(Homes.begin(), Homes.end(), [&](const auto &Regions) {
          return isIn(Entry.first, Regions);
        });
    if (InAllHomes || Entry.second == Region)
      Allowed.push_back(Entry.first);
  }
  return domain_filter(std::move(Allowed));
}

} // namespace magnolia::placement
