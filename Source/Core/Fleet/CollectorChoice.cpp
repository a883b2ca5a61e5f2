#include "Fleet/CollectorChoice.h"

#include <algorithm>
#include <tuple>
#include <vector>

#include "Common/Digest.h"

namespace magnolia::fleet {
namespace {

struct candidate {
  uint64_t Position = 0;
  std::string_view Name;
  /// Null for this instance.
  const peer *Peer = nullptr;

  friend bool operator<(const candidate &Left, const candidate &Right) {
    return std::tie(Left.Position, Left.Name) <
           std::tie(Right.Position, Right.Name);
  }
};

} // namespace

const peer *chooseCollector(const peer_view &Peers,
                            const instance_identity &Own,
                            const collector_settings &Settings, uint64_t Round,
                            boot_time Now) {
  std::vector<candidate> Candidates = {
      {common::stableHash(Own.Name), Own.Name, nullptr}};
  for (const auto &[Name, Peer] : Peers.peers())
    if (Peer.Identity.FailureDomain == Own.FailureDomain &&
        Peer.State == instance_state::Ready &&
        Now - Peer.LastReceived < Settings.UnreachableAfter)
      Candidates.push_back({common::stableHash(Name), Name, &Peer});
  const size_t Count = std::min(Settings.Collectors, Candidates.size());
  std::partial_sort(Candidates.begin(),
                    Candidates.begin() + static_cast<ptrdiff_t>(Count),
                    Candidates.end());
  return Candidates[Round % Count].Peer;
}

} // namespace magnolia::fleet
