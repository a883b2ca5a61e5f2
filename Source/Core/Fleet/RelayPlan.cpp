#include "Fleet/RelayPlan.h"

#include <algorithm>
#include <map>
#include <string>

namespace magnolia::fleet {
namespace {

struct domain_peers {
  std::vector<const peer *> Known;
  std::vector<const peer *> Reachable;
};

} // namespace

relay_plan planRelays(const peer_view &Peers, std::string_view OwnDomain,
                      size_t RelaysPerDomain, uint64_t Round, boot_time Now) {
  std::map<std::string, domain_peers> Domains;
  for (const auto &[Name, Peer] : Peers.peers()) {
    if (Peer.Identity.FailureDomain == OwnDomain)
      continue;
    domain_peers &Domain = Domains[Peer.Identity.FailureDomain];
    Domain.Known.push_back(&Peer);
    if (Peers.isReachable(Peer, Now))
      Domain.Reachable.push_back(&Peer);
  }
  relay_plan Plan;
  for (auto &[Name, Domain] : Domains) {
    const bool Relayed =
        !Domain.Reachable.empty() && Domain.Known.size() > RelaysPerDomain;
    if (!Relayed) {
      Plan.Direct.insert(Plan.Direct.end(), Domain.Known.begin(),
                         Domain.Known.end());
      continue;
    }
    std::sort(Domain.Reachable.begin(), Domain.Reachable.end(),
              [](const peer *Left, const peer *Right) {
                return Left->Identity.Name < Right->Identity.Name;
              });
    const size_t Count = std::min(RelaysPerDomain, Domain.Reachable.size());
    for (size_t Index = 0; Index < Count; ++Index)
      Plan.Relays.push_back(
          Domain.Reachable[(Round + Index) % Domain.Reachable.size()]);
  }
  return Plan;
}

} // namespace magnolia::fleet
