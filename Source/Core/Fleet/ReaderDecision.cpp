#include "Fleet/ReaderDecision.h"

#include <algorithm>

#include "Common/Digest.h"

namespace magnolia::fleet {

reader_decision decideReader(const peer_view &Peers, std::string_view OwnName,
                             const reader_settings &Settings, boot_time Now,
                             std::string_view FailureDomain) {
  const auto OwnPosition = std::make_pair(common::stableHash(OwnName), OwnName);
  reader_decision Decision;
  size_t ReadersBefore = 0;
  for (const auto &[Name, Peer] : Peers.peers()) {
    const bool Reachable = Peer.LastReceived != boot_time() &&
                           Now - Peer.LastReceived < Settings.UnreachableAfter;
    const auto Position =
        std::make_pair(common::stableHash(Name), std::string_view(Name));
    const bool Counts =
        FailureDomain.empty() || Peer.Identity.FailureDomain == FailureDomain;
    if (!Counts || !Reachable || Peer.State == instance_state::Draining ||
        Position > OwnPosition)
      continue;
    ++Decision.ReachableBefore;
    if (isSteady(Peer.Reading))
      ++ReadersBefore;
  }
  Decision.Covered = ReadersBefore >= Settings.Readers;
  Decision.Preferred = Decision.ReachableBefore < Settings.Readers;
  Decision.TakeOverDelay = std::min<duration>(
      Settings.TakeOverStep * static_cast<int>(Decision.ReachableBefore),
      Settings.MaxTakeOverDelay);
  return Decision;
}

} // namespace magnolia::fleet
