#include "Fleet/ReaderDecision.h"

#include <algorithm>

#include "Common/Digest.h"

namespace magnolia::fleet {

reader_decision decideReader(const peer_view &Peers, std::string_view OwnName,
                             const reader_settings &Settings, boot_time Now) {
  const auto OwnPosition = std::make_pair(common::stableHash(OwnName), OwnName);
  size_t ReadersBefore = 0;
  size_t ReachableBefore = 0;
  for (const auto &[Name, Peer] : Peers.peers()) {
    const bool Reachable = Peer.LastReceived != boot_time() &&
                           Now - Peer.LastReceived < Settings.UnreachableAfter;
    const auto Position =
        std::make_pair(common::stableHash(Name), std::string_view(Name));
    if (!Reachable || Peer.State == instance_state::Draining ||
        Position > OwnPosition)
      continue;
    ++ReachableBefore;
    if (isSteady(Peer.Reading))
      ++ReadersBefore;
  }
  reader_decision Decision;
  Decision.Covered = ReadersBefore >= Settings.Readers;
  Decision.Preferred = ReachableBefore < Settings.Readers;
  Decision.TakeOverDelay = std::min<duration>(
      Settings.TakeOverStep * static_cast<int>(ReachableBefore),
      Settings.MaxTakeOverDelay);
  return Decision;
}

} // namespace magnolia::fleet
