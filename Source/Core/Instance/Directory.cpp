#include "Instance/Directory.h"

#include <algorithm>
#include <map>

#include "Common/Digest.h"

namespace magnolia::instance {
namespace {

using members = std::vector<const member *>;

members withPresence(absl::Span<const member> All, presence Presence) {
  members Found;
  for (const member &Each : All)
    if (Each.Presence == Presence)
      Found.push_back(&Each);
  return Found;
}

/// Orders \p Group by the caller's seed, one instance of each failure domain in
/// turn, the caller's own domain first.
members spread(const members &Group, const directory_query &Query) {
  std::map<uint64_t, members> Domains;
  for (const member *Each : Group) {
    const std::string &Domain = Each->Info.FailureDomain;
    const bool SameDomain = Domain == Query.FailureDomain;
    // Rank zero comes first; the others are ordered by the caller's seed.
    const uint64_t Rank =
        SameDomain ? 0 : common::stableHash(Domain, Query.CallerSeed) | 1;
    Domains[Rank].push_back(Each);
  }
  size_t Longest = 0;
  for (auto &[Rank, Domain] : Domains) {
    std::sort(Domain.begin(), Domain.end(),
              [&](const member *A, const member *B) {
                return common::stableHash(A->Info.Name, Query.CallerSeed) <
                       common::stableHash(B->Info.Name, Query.CallerSeed);
              });
    Longest = std::max(Longest, Domain.size());
  }
  members Order;
  for (size_t Round = 0; Round < Longest; ++Round)
    for (const auto &[Rank, Domain] : Domains)
      if (Round < Domain.size())
        Order.push_back(Domain[Round]);
  return Order;
}

} // namespace

directory_response queryDirectory(absl::Span<const member> All,
                                  const directory_query &Query,
                                  const directory_settings &Settings) {
  if (All.empty())
    return {};
  members Usable = withPresence(All, presence::Alive);
  const members Suspect = withPresence(All, presence::Suspect);
  // An instance that sees few others alive may be cut off itself.
  const bool Isolated = Usable.size() <= Suspect.size();
  for (const presence Next :
       {presence::Draining, presence::Suspect, presence::Gone})
    if (Usable.empty())
      Usable = withPresence(All, Next);

  const auto IsOwner = [&](const member *Each) {
    return std::find(Query.Owners.begin(), Query.Owners.end(),
                     Each->Info.Name) != Query.Owners.end();
  };
  const auto Split =
      std::stable_partition(Usable.begin(), Usable.end(), IsOwner);
  members Order = spread({Usable.begin(), Split}, Query);
  for (const member *Each : spread({Split, Usable.end()}, Query))
    Order.push_back(Each);

  if (Isolated && Usable.front()->Presence == presence::Alive)
    for (const member *Each : spread(Suspect, Query))
      Order.push_back(Each);

  directory_response Response;
  Response.Ttl = Isolated ? Settings.IsolatedTtl : Settings.Ttl;
  for (const member *Each : Order) {
    if (Response.Instances.size() == Settings.MaxInstances)
      break;
    Response.Instances.push_back(
        {Each->Info.CallerAddress, Each->Info.FailureDomain});
  }
  return Response;
}

} // namespace magnolia::instance
