#include "Link/LinkView.h"

#include <algorithm>
#include <array>

#include "Common/StringView.h"

namespace magnolia::link {
namespace {

constexpr std::array<std::string_view, static_cast<size_t>(link_state::Count)>
    StateNames = {"two_way", "inbound_only", "heard_by_others", "silent"};

void count(domain_links &Links, link_state State) {
  switch (State) {
  case link_state::TwoWay:
    ++Links.TwoWay;
    return;
  case link_state::InboundOnly:
    ++Links.InboundOnly;
    return;
  case link_state::HeardByOthers:
    ++Links.HeardByOthers;
    return;
  case link_state::Silent:
  case link_state::Count:
    ++Links.Silent;
    return;
  }
}

} // namespace

std::string_view nameOf(link_state State) {
  return StateNames[static_cast<size_t>(State)];
}

void link_view::heard(std::string_view Name, std::string_view FailureDomain,
                      absl::Span<const hearing> Hearings, boot_time Now) {
  {
    peer &Peer = Peers[common::toAbsl(Name)];
    Peer.FailureDomain = FailureDomain;
    Peer.Heard = std::max(Peer.Heard, Now);
  }
  for (const hearing &Hearing : Hearings) {
    const boot_time Heard = Now - Hearing.Age;
    if (Hearing.Instance == Self) {
      peer &Peer = Peers[common::toAbsl(Name)];
      Peer.HeardSelf = std::max(Peer.HeardSelf, Heard);
      continue;
    }
    peer &Other = Peers[Hearing.Instance];
    Other.HeardByOther = std::max(Other.HeardByOther, Heard);
  }
}

void link_view::forget(std::string_view Peer) {
  Peers.erase(common::toAbsl(Peer));
}

link_state link_view::stateOf(const peer &Peer, boot_time Now) const {
  if (fresh(Peer.Heard, Now))
    return fresh(Peer.HeardSelf, Now) ? link_state::TwoWay
                                      : link_state::InboundOnly;
  return fresh(Peer.HeardByOther, Now) ? link_state::HeardByOthers
                                       : link_state::Silent;
}

link_state link_view::stateOf(std::string_view Name, boot_time Now) const {
  const auto Found = Peers.find(common::toAbsl(Name));
  return Found == Peers.end() ? link_state::Silent
                              : stateOf(Found->second, Now);
}

boot_time link_view::lastHeard(std::string_view Name) const {
  const auto Found = Peers.find(common::toAbsl(Name));
  if (Found == Peers.end())
    return {};
  return std::max(Found->second.Heard, Found->second.HeardByOther);
}

std::vector<hearing> link_view::hearings(boot_time Now) const {
  std::vector<hearing> Hearings;
  for (const auto &[Name, Peer] : Peers)
    if (fresh(Peer.Heard, Now))
      Hearings.push_back({Name, Now - Peer.Heard});
  return Hearings;
}

std::map<std::string, domain_links> link_view::byDomain(boot_time Now) const {
  std::map<std::string, domain_links> Domains;
  for (const auto &[Name, Peer] : Peers)
    count(Domains[Peer.FailureDomain], stateOf(Peer, Now));
  return Domains;
}

} // namespace magnolia::link
