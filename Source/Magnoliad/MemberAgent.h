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

/// Runs the membership: this instance's row in the table, the others' rows, the
/// platform's list and heartbeats; answers the directory. Thread-safe.
class member_agent {
public:
  /// What a heartbeat says of the configuration.
  struct config_hooks {
    /// The version in force; zero before the first one.
    std::function<uint64_t()> Version;
    /// How old the knowledge is that no newer one was accepted.
    std::function<common::boot_clock::duration(common::boot_time Now)> Age;
  };

  member_agent(const settings &Settings, instance::instance_info Self,
               platform::services Services, peer_messenger &Messenger,
               config_hooks Config);

  /// Tells every peer that this instance lives.
  void heartbeat(common::boot_time Now);

  /// Reads rows and list, writes the own row if it is due; blocks.
  void syncTable(common::boot_time Now);

  /// Writes the own row if it does not name the version in force; blocks.
  void confirm(common::boot_time Now) { writeRow(Now); }

  /// From now on this instance tells that it leaves.
  void startDraining() { Members.startDraining(); }
  bool drainingKnownToAll(common::boot_time Now) const {
    return Members.drainingKnownToAll(Now);
  }

  /// Removes the own row; blocks.
  void removeRow();

  /// Names of the others that are not gone.
  std::vector<std::string> peers(common::boot_time Now) const;

  /// The others that live and stay, and this instance while it stays.
  std::vector<quota::owner_candidate> candidates(common::boot_time Now) const;

  /// The directory's answer; \p Owners come first.
  http::whole_answer directoryResponse(absl::Span<const std::string> Owners,
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
