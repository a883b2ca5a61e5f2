#include "Fleet/ReaderDecision.h"

#include <algorithm>

#include "Common/Digest.h"

namespace magnolia::fleet {

reader_decision decideReader(const peer_view &Peers, std::string_view OwnName,
                             const reader_settings &Settings, boot_time Now) {
  const auto OwnPlace = std::make_pair(common::stableHash(OwnName), OwnName);
  size_t ReadersBefore = 0;
  size_t AliveBefore = 0;
  for (const auto &[Name, Peer] : Peers.peers()) {
    const bool Heard = Peer.LastReceived != boot_time() &&
                       Now - Peer.LastReceived < Settings.UnreachableAfter;
    const auto Place =
        std::make_pair(common::stableHash(Name), std::string_view(Name));
    if (!Heard || Peer.State == instance_state::Draining || Place > OwnPlace)
      continue;
    ++AliveBefore;
    if (isSteady(Peer.Reading))
      ++ReadersBefore;
  }
  reader_decision Decision;
  Decision.Covered = ReadersBefore >= Settings.Readers;
  Decision.Preferred = AliveBefore < Settings.Readers;
  Decision.TakeOverDelay =
      std::min<duration>(Settings.TakeOverStep * static_cast<int>(AliveBefore),
                         Settings.LongestTakeOver);
  return Decision;
}

} // namespace magnolia::fleet
