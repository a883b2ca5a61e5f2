#pragma once

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include <absl/container/flat_hash_map.h>
#include <absl/types/span.h>

#include "Common/Time.h"

/// Which instance can reach which, in each direction.
namespace magnolia::link {

using common::boot_time;
using duration = common::boot_clock::duration;

/// One peer that an instance hears, as its heartbeats tell.
struct received_heartbeat {
  std::string Instance;
  /// How long ago its last heartbeat came, when this was sent.
  duration Age{0};
};

/// The link between this instance and a peer.
enum class link_state : uint8_t {
  /// Each hears the other.
  TwoWay,
  /// The peer is heard, but does not hear this instance.
  InboundOnly,
  /// The peer is not heard, but others hear it: the link is at fault.
  HeardByOthers,
  /// Nobody hears the peer.
  Silent,
  Count
};

/// The name of \p State as metrics and status show it.
std::string_view nameOf(link_state State);

/// The links to the peers of one failure domain.
struct domain_links {
  uint32_t TwoWay = 0;
  uint32_t InboundOnly = 0;
  uint32_t HeardByOthers = 0;
  uint32_t Silent = 0;
};

/// What one instance knows of links between instances, from heartbeats and
/// the hearings that they carry. Not thread-safe.
class link_view {
public:
  /// A peer counts as heard until its last heartbeat is \p ReachableFor old.
  link_view(std::string Self, duration ReachableFor)
      : Self(std::move(Self)), ReachableFor(ReachableFor) {}

  /// Takes a heartbeat of \p Peer, which hears \p Received.
  void recordHeartbeat(std::string_view Peer, std::string_view FailureDomain,
                       absl::Span<const received_heartbeat> Received,
                       boot_time Now);

  /// Forgets a peer that is gone.
  void forget(std::string_view Peer);

  link_state stateOf(std::string_view Peer, boot_time Now) const;

  /// When \p Peer was last heard, by this instance or by one that it hears;
  /// the start of time if never.
  boot_time lastReceived(std::string_view Peer) const;

  /// The peers that this instance hears, for its own heartbeats.
  std::vector<received_heartbeat> receivedHeartbeats(boot_time Now) const;

  /// The links by failure domain. One whose peers are all heard by others
  /// alone is cut off towards this instance.
  std::map<std::string, domain_links> byDomain(boot_time Now) const;

private:
  struct peer {
    std::string FailureDomain;
    boot_time ReceivedAt;
    /// When it heard this instance, and who heard it, at the latest.
    boot_time ReceivedSelfAt;
    boot_time ReceivedByOtherAt;
  };

  bool isRecent(boot_time ReceivedAt, boot_time Now) const {
    return ReceivedAt != boot_time() && Now - ReceivedAt <= ReachableFor;
  }
  link_state stateOf(const peer &Peer, boot_time Now) const;

  const std::string Self;
  const duration ReachableFor;
  absl::flat_hash_map<std::string, peer> Peers;
};

} // namespace magnolia::link
