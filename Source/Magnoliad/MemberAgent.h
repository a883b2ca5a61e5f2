#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "Instance/Directory.h"
#include "Instance/Membership.h"
#include "Magnoliad/PeerMessenger.h"
#include "Magnoliad/Settings.h"
#include "Net/Http/Message.h"
#include "Platform/Services.h"
#include "Quota/OwnerOrder.h"

namespace magnolia::daemon {

/// Maintains the membership through the instance rows in the table, the
/// platform's instance list and heartbeats, and makes directory responses.
/// Thread-safe.
class member_agent {
public:
  /// Configuration state that heartbeats report.
  struct config_hooks {
    /// The version in force; zero before the first one.
    std::function<uint64_t()> Version;
    /// Time since the last proof that no later version was accepted.
    std::function<common::boot_clock::duration(common::boot_time Now)> Age;
  };

  member_agent(const settings &Settings, instance::instance_info Self,
               platform::services Services, peer_messenger &Messenger,
               config_hooks Config);

  /// Sends a heartbeat to every peer.
  void heartbeat(common::boot_time Now);

  /// Reads the instance rows and list, and writes this instance's row if it is
  /// due; blocks.
  void syncTable(common::boot_time Now);

  /// Writes this instance's row if it does not have the version in force or is
  /// due; blocks.
  void confirm(common::boot_time Now) { writeRow(Now); }

  /// From now on heartbeats report that this instance is draining.
  void startDraining() { Members.startDraining(); }
  bool drainingKnownToAll(common::boot_time Now) const {
    return Members.drainingKnownToAll(Now);
  }

  /// Removes this instance's row and stops writing it; blocks.
  void removeRow();

  /// Names of the other instances whose presence is not Gone.
  std::vector<std::string> peers(common::boot_time Now) const;

  /// All instances that are alive and not draining, including this one.
  std::vector<quota::owner_candidate> candidates(common::boot_time Now) const;

  /// The directory response; \p Owners are listed first.
  http::buffered_response
  directoryResponse(absl::Span<const std::string> Owners,
                    common::boot_time Now) const;

  std::vector<instance::member> members(common::boot_time Now) const {
    return Members.members(Now);
  }

private:
  void receive(std::string_view Body);
  void updatePeerAddresses(common::boot_time Now);
  void writeRow(common::boot_time Now);

  const settings &Settings;
  const platform::services Services;
  peer_messenger &Messenger;
  const config_hooks Config;
  instance::membership Members;
  absl::Mutex Mutex;
  uint64_t WrittenVersion ABSL_GUARDED_BY(Mutex) = 0;
  common::boot_time NextRow ABSL_GUARDED_BY(Mutex) = common::boot_time::min();
  bool RowRemoved ABSL_GUARDED_BY(Mutex) = false;
};

} // namespace magnolia::daemon
