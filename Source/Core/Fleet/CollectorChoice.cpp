#include "Fleet/CollectorChoice.h"

#include <algorithm>
#include <tuple>
#include <vector>

#include "Common/Digest.h"

namespace magnolia::fleet {
namespace {

struct candidate {
  const instance_identity *Identity = nullptr;
  /// Null for this instance.
  const peer *Peer = nullptr;
  bool IsWeak = false;
  uint64_t Position = 0;

  friend bool operator<(const candidate &Left, const candidate &Right) {
    return std::tie(Left.IsWeak, Left.Position, Left.Identity->Name) <
           std::tie(Right.IsWeak, Right.Position, Right.Identity->Name);
  }
};

} // namespace

const peer *chooseCollector(const peer_view &Peers,
                            const instance_identity &Own,
                            const collector_settings &Settings, uint64_t Round,
                            boot_time Now) {
  std::vector<candidate> Candidates = {{&Own, nullptr}};
  for (const auto &[Name, Peer] : Peers.peers())
    if (Peer.Identity.FailureDomain == Own.FailureDomain &&
        Peer.State == instance_state::Ready &&
        Now - Peer.LastReceived < Settings.UnreachableAfter)
      Candidates.push_back({&Peer.Identity, &Peer});
  strength_classes Classes;
  for (const candidate &Each : Candidates)
    Classes.add(Each.Identity->Strength);
  for (candidate &Each : Candidates) {
    Each.IsWeak = !Classes.isStrong(Each.Identity->Strength);
    Each.Position = common::stableHash(Each.Identity->Name);
  }
  const size_t Count = std::min(Settings.Collectors, Candidates.size());
  std::partial_sort(Candidates.begin(),
                    Candidates.begin() + static_cast<ptrdiff_t>(Count),
                    Candidates.end());
  return Candidates[Round % Count].Peer;
}

} // namespace magnolia::fleet
