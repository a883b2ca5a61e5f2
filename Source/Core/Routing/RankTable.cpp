#include "Routing/RankTable.h"

#include <algorithm>

#include "Common/StringView.h"

namespace magnolia::routing {
namespace {

using common::toAbsl;

/// Less urgent requests share the last rank: each rank is counted in messages
/// between instances.
constexpr size_t MaxRanks = 8;

} // namespace

rank_table::rank_table(const configuration &Configuration) {
  for (const route &Route : Configuration.Routes) {
    const bool NeedsNoKey = Route.Public || !Configuration.RequiresKeys;
    if (NeedsNoKey)
      add(Route, nullptr);
    else
      for (const workspace &Workspace : Configuration.Workspaces)
        add(Route, &Workspace);
  }
  for (auto &[Service, Urgencies] : ByService) {
    std::sort(Urgencies.begin(), Urgencies.end());
    Urgencies.erase(std::unique(Urgencies.begin(), Urgencies.end()),
                    Urgencies.end());
  }
}

rank_table::urgency rank_table::urgencyOf(const route &Route,
                                          const workspace *Workspace) {
  const double First = Workspace != nullptr
                           ? Workspace->Priority.value_or(Route.Priority)
                           : Route.Priority;
  return {First, Route.Priority};
}

void rank_table::add(const route &Route, const workspace *Workspace) {
  const urgency Urgency = urgencyOf(Route, Workspace);
  for (const split_part &Part : Route.Parts) {
    std::vector<urgency> &Known = ByService[Part.Service];
    // Most workspaces have the same priority as the one before.
    if (Known.empty() || Known.back() != Urgency)
      Known.push_back(Urgency);
  }
}

size_t rank_table::countOf(std::string_view Service) const {
  const auto Found = ByService.find(toAbsl(Service));
  return Found == ByService.end()
             ? 1
             : std::min(MaxRanks, std::max<size_t>(1, Found->second.size()));
}

size_t rank_table::rankOf(std::string_view Service, const route &Route,
                          const workspace *Workspace) const {
  const auto Found = ByService.find(toAbsl(Service));
  if (Found == ByService.end())
    return 0;
  const std::vector<urgency> &Known = Found->second;
  const auto Position =
      std::lower_bound(Known.begin(), Known.end(), urgencyOf(Route, Workspace));
  return std::min<size_t>(static_cast<size_t>(Position - Known.begin()),
                          MaxRanks - 1);
}

} // namespace magnolia::routing
