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

/// Runs what the target selector needs beside requests: digests to and from
/// peers, the floor lease, probes of drained targets. Thread-safe.
class target_agent {
public:
  target_agent(target::target_selector &Selector, std::string Process,
               platform::services Services, net::upstream_pool &Upstream,
               peer_messenger &Messenger);

  /// Judges targets; call about every 100 ms.
  void tick(common::boot_time Now) { Selector.tick(Now); }

  /// Decides on ejections where this instance may, and tells the peers what it
  /// knows of targets.
  void publish(const std::vector<std::string> &Peers, common::boot_time Now);

  /// Asks drained targets whether they came back; blocks.
  void probe(common::boot_time Now);

  /// Takes or renews the floor lease; blocks.
  void pollLease(common::boot_time Now);

  /// Gives the floor lease up, for a planned stop; blocks.
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
