#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "Magnoliad/PeerMessenger.h"
#include "Magnoliad/Settings.h"
#include "Net/Upstream/UpstreamPool.h"
#include "Platform/Services.h"
#include "Target/FloorLease.h"
#include "Target/Selector.h"

namespace magnolia::daemon {

/// Runs the background tasks of the target selector: exchange of digests with
/// peers, the floor lease and probes of draining targets. Thread-safe.
class target_agent {
public:
  target_agent(target::target_selector &Selector, std::string Process,
               platform::services Services, net::upstream_pool &Upstream,
               peer_messenger &Messenger);

  /// Evaluates the health of targets; call about every 100 ms.
  void tick(common::boot_time Now) { Selector.tick(Now); }

  /// Decides on ejections while this instance holds the floor lease, and sends
  /// a digest of its target states to the peers.
  void publish(const std::vector<std::string> &Peers, common::boot_time Now);

  /// Checks whether draining targets accept requests again; blocks.
  void probe(common::boot_time Now);

  /// Acquires or renews the floor lease; blocks.
  void pollLease(common::boot_time Now);

  /// Releases the floor lease for a graceful shutdown; blocks.
  void releaseLease();

private:
  void receive(std::string_view Body);

  target::target_selector &Selector;
  const platform::services Services;
  net::upstream_pool &Upstream;
  peer_messenger &Messenger;
  target::floor_lease Lease;
};

} // namespace magnolia::daemon
