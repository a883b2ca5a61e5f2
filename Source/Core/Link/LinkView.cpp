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

void link_view::recordHeartbeat(std::string_view Name,
                                std::string_view FailureDomain,
                                absl::Span<const received_heartbeat> Received,
                                boot_time Now) {
  {
    peer &Peer = Peers[common::toAbsl(Name)];
    Peer.FailureDomain = FailureDomain;
    Peer.ReceivedAt = std::max(Peer.ReceivedAt, Now);
  }
  for (const received_heartbeat &Entry : Received) {
    const boot_time ReceivedAt = Now - Entry.Age;
    if (Entry.Instance == Self) {
      peer &Peer = Peers[common::toAbsl(Name)];
      Peer.ReceivedSelfAt = std::max(Peer.ReceivedSelfAt, ReceivedAt);
      continue;
    }
    peer &Other = Peers[Entry.Instance];
    Other.ReceivedByOtherAt = std::max(Other.ReceivedByOtherAt, ReceivedAt);
  }
}

void link_view::remove(std::string_view Peer) {
  Peers.erase(common::toAbsl(Peer));
}

link_state link_view::stateOf(const peer &Peer, boot_time Now) const {
  if (isRecent(Peer.ReceivedAt, Now))
    return isRecent(Peer.ReceivedSelfAt, Now) ? link_state::TwoWay
                                              : link_state::InboundOnly;
  return isRecent(Peer.ReceivedByOtherAt, Now) ? link_state::HeardByOthers
                                               : link_state::Silent;
}

link_state link_view::stateOf(std::string_view Name, boot_time Now) const {
  const auto Found = Peers.find(common::toAbsl(Name));
  return Found == Peers.end() ? link_state::Silent
                              : stateOf(Found->second, Now);
}

boot_time link_view::lastReceived(std::string_view Name) const {
  const auto Found = Peers.find(common::toAbsl(Name));
  if (Found == Peers.end())
    return {};
  return std::max(Found->second.ReceivedAt, Found->second.ReceivedByOtherAt);
}

std::vector<received_heartbeat>
link_view::receivedHeartbeats(boot_time Now) const {
  std::vector<received_heartbeat> Received;
  for (const auto &[Name, Peer] : Peers)
    if (isRecent(Peer.ReceivedAt, Now))
      Received.push_back({Name, Now - Peer.ReceivedAt});
  return Received;
}

std::map<std::string, domain_links> link_view::byDomain(boot_time Now) const {
  std::map<std::string, domain_links> Domains;
  for (const auto &[Name, Peer] : Peers)
    count(Domains[Peer.FailureDomain], stateOf(Peer, Now));
  return Domains;
}

} // namespace magnolia::link
