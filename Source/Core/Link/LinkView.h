#pragma once

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include <absl/container/flat_hash_map.h>
#include <absl/types/span.h>

#include "Common/Time.h"

/// Reachability between instances, in each direction.
namespace magnolia::link {

using common::boot_time;
using duration = common::boot_clock::duration;

/// The last heartbeat that an instance received from a peer, as it reports it
/// in its own heartbeats.
struct received_heartbeat {
  std::string Instance;
  /// Age of the peer's heartbeat when the report was sent.
  duration Age{0};
};

/// The link between this instance and a peer.
enum class link_state : uint8_t {
  /// Each receives the other's heartbeats.
  TwoWay,
  /// Heartbeats arrive from the peer, but it does not receive this instance's.
  InboundOnly,
  /// This instance receives no heartbeats from the peer, but others do: the
  /// link is at fault.
  HeardByOthers,
  /// No instance receives heartbeats from the peer.
  Silent,
  Count
};

/// The name of \p State as metrics and status show it.
std::string_view nameOf(link_state State);

/// Number of peers of one failure domain by the state of the link to them.
struct domain_links {
  uint32_t TwoWay = 0;
  uint32_t InboundOnly = 0;
  uint32_t HeardByOthers = 0;
  uint32_t Silent = 0;
};

/// Tracks the links between instances by the heartbeats that this instance
/// receives and those that its peers report as received. Not thread-safe.
class link_view {
public:
  /// A peer counts as reachable until its last heartbeat is older than
  /// \p ReachableFor.
  link_view(std::string Self, duration ReachableFor)
      : Self(std::move(Self)), ReachableFor(ReachableFor) {}

  /// Records a heartbeat from \p Peer, which reports the heartbeats in
  /// \p Received.
  void recordHeartbeat(std::string_view Peer, std::string_view FailureDomain,
                       absl::Span<const received_heartbeat> Received,
                       boot_time Now);

  /// Removes a peer that has left the fleet or was replaced.
  void remove(std::string_view Peer);

  link_state stateOf(std::string_view Peer, boot_time Now) const;

  /// When \p Peer's last heartbeat was received, by this instance or by one
  /// whose report reached it; the epoch if never.
  boot_time lastReceived(std::string_view Peer) const;

  /// The recent heartbeats from peers, to be reported in this instance's own.
  std::vector<received_heartbeat> receivedHeartbeats(boot_time Now) const;

  /// The links by failure domain. If all peers of a domain are HeardByOthers,
  /// the domain cannot reach this instance.
  std::map<std::string, domain_links> byDomain(boot_time Now) const;

private:
  struct peer {
    std::string FailureDomain;
    boot_time ReceivedAt;
    /// When it last received this instance's heartbeat, and when another peer
    /// last received its own.
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
