#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <absl/base/thread_annotations.h>
#include <absl/container/flat_hash_map.h>
#include <absl/synchronization/mutex.h>
#include <absl/types/span.h>

#include "Instance/Heartbeat.h"
#include "Link/LinkView.h"
#include "Platform/Services.h"

namespace magnolia::instance {

/// State of an instance in the view of another. Suspect and Gone: silent for
/// the times in membership_settings.
enum class presence : uint8_t { Alive, Suspect, Draining, Gone, Count };

/// The name of \p Presence as metrics and status show it: "leaving" for
/// Draining.
std::string_view nameOf(presence Presence);

/// Timeouts after which missing heartbeats change an instance's presence.
struct membership_settings {
  /// An instance without a heartbeat to any reachable instance for this long is
  /// suspect.
  duration SuspectAfter = std::chrono::seconds(3);
  /// An instance without a heartbeat to any reachable instance for this long is
  /// gone.
  duration GoneAfter = std::chrono::seconds(30);
};

/// One instance in the view of another.
struct member {
  instance_info Info;
  presence Presence = presence::Alive;
  link::link_state Link = link::link_state::Silent;
  uint64_t ConfigurationVersion = 0;
  /// Age of its knowledge of the configuration at the time of the query.
  duration ConfigurationAge{0};
};

/// The instances that this one knows, from the rows in the table, the
/// platform's list, which lags behind, and peers' heartbeats. Thread-safe.
class membership {
public:
  membership(instance_info Self, membership_settings Settings);

  /// Applies the rows with which instances register in the table. A row
  /// introduces an instance but does not show whether it is alive.
  void setRows(absl::Span<const instance_info> Rows, boot_time Now);

  /// Applies the platform's list. An instance that it lists as draining counts
  /// as draining unless it sent a heartbeat itself within SuspectAfter.
  void setList(absl::Span<const platform::listed_instance> List);

  /// Applies a peer's heartbeat. False if a later incarnation is known or the
  /// heartbeat is this instance's own.
  bool receive(const heartbeat &Heartbeat, boot_time Now);

  /// Builds this instance's next heartbeat.
  heartbeat makeHeartbeat(uint64_t ConfigurationVersion,
                          duration ConfigurationAge, boot_time Now) const;

  /// From now on this instance's heartbeats report that it is draining.
  void startDraining();

  /// Whether every peer that is not gone has confirmed that it knows that this
  /// instance is draining.
  bool drainingKnownToAll(boot_time Now) const;

  const instance_info &self() const { return Self; }

  /// This instance and all others that are not removed, sorted by name.
  std::vector<member> members(boot_time Now) const;

  /// The links by failure domain.
  std::map<std::string, link::domain_links> linksByDomain(boot_time Now) const;

private:
  struct record {
    instance_info Info;
    boot_time IntroducedAt;
    bool HasRow = false;
    bool Draining = false;
    bool ListedDraining = false;
    bool KnowsSelfDraining = false;
    uint64_t ConfigurationVersion = 0;
    duration ConfigurationAge{0};
    boot_time LastHeartbeat;
  };

  /// The record of the instance, reset for a new incarnation; null if a later
  /// incarnation is known.
  record *introduce(const instance_info &Info, boot_time Now)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(Mutex);
  presence presenceOf(const record &Record, boot_time Now) const
      ABSL_SHARED_LOCKS_REQUIRED(Mutex);
  void removeGone(boot_time Now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(Mutex);

  const instance_info Self;
  const membership_settings Settings;
  mutable absl::Mutex Mutex;
  bool SelfDraining ABSL_GUARDED_BY(Mutex) = false;
  absl::flat_hash_map<std::string, record> Records ABSL_GUARDED_BY(Mutex);
  link::link_view Links ABSL_GUARDED_BY(Mutex);
};

} // namespace magnolia::instance
