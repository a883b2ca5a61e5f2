#include "Fleet/ReaderDecision.h"

#include <algorithm>
#include <tuple>

#include "Common/Digest.h"

namespace magnolia::fleet {
namespace {

/// The place of an instance in the order of readers.
std::tuple<bool, uint64_t, std::string_view>
positionOf(const instance_identity &Identity, const strength_classes &Classes) {
  return {!Classes.isStrong(Identity.Strength),
          common::stableHash(Identity.Name), Identity.Name};
}

/// The peers that may read the store and can be reached.
std::vector<const peer *> candidates(const peer_view &Peers,
                                     const reader_settings &Settings,
                                     boot_time Now,
                                     std::string_view FailureDomain) {
  std::vector<const peer *> Found;
  for (const auto &[Name, Peer] : Peers.peers()) {
    const bool Reachable = Peer.LastReceived != boot_time() &&
                           Now - Peer.LastReceived < Settings.UnreachableAfter;
    const bool Counts =
        FailureDomain.empty() || Peer.Identity.FailureDomain == FailureDomain;
    if (Counts && Reachable && Peer.State != instance_state::Draining)
      Found.push_back(&Peer);
  }
  return Found;
}

} // namespace

reader_decision decideReader(const peer_view &Peers,
                             const instance_identity &Own,
                             const reader_settings &Settings, boot_time Now,
                             std::string_view FailureDomain) {
  const std::vector<const peer *> Candidates =
      candidates(Peers, Settings, Now, FailureDomain);
  strength_classes Classes;
  Classes.add(Own.Strength);
  for (const peer *Peer : Candidates)
    Classes.add(Peer->Identity.Strength);
  const auto OwnPosition = positionOf(Own, Classes);
  reader_decision Decision;
  size_t ReadersBefore = 0;
  for (const peer *Peer : Candidates) {
    if (positionOf(Peer->Identity, Classes) > OwnPosition)
      continue;
    ++Decision.ReachableBefore;
    if (isSteady(Peer->Reading))
      ++ReadersBefore;
  }
  Decision.OnStrongMachine = Classes.isStrong(Own.Strength);
  Decision.Covered = ReadersBefore >= Settings.Readers;
  Decision.Preferred = Decision.ReachableBefore < Settings.Readers;
  Decision.TakeOverDelay = std::min<duration>(
      Settings.TakeOverStep * static_cast<int>(Decision.ReachableBefore),
      Settings.MaxTakeOverDelay);
  return Decision;
}

} // namespace magnolia::fleet
