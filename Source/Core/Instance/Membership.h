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

/// How an instance stands in the view of another.
enum class presence : uint8_t { Alive, Suspect, Leaving, Gone, Count };

/// The name of \p Presence as metrics and status show it.
std::string_view nameOf(presence Presence);

/// When silence changes an instance's presence.
struct membership_settings {
  /// An instance that nobody heard for so long is suspect.
  duration SuspectAfter = std::chrono::seconds(3);
  /// A suspect instance that nobody heard for so long is gone.
  duration GoneAfter = std::chrono::seconds(30);
};

/// One instance in the view of another.
struct member {
  instance_info Info;
  presence Presence = presence::Alive;
  link::link_state Link = link::link_state::Silent;
  uint64_t ConfigurationVersion = 0;
  /// How old its knowledge of the configuration is, as of the question.
  duration ConfigurationAge{0};
};

/// The instances that this one knows, from the table's rows, the platform's
/// lagging list and peers' heartbeats. Thread-safe.
class membership {
public:
  membership(instance_info Self, membership_settings Settings);

  /// Takes the rows by which instances announce themselves in the table. They
  /// introduce instances; they prove neither life nor death.
  void setRows(absl::Span<const instance_info> Rows, boot_time Now);

  /// Takes the platform's list. Its word that an instance leaves counts unless
  /// the instance itself said otherwise since it was last silent.
  void setList(absl::Span<const platform::listed_instance> List);

  /// Takes a peer's heartbeat. False if a later incarnation is known.
  bool receive(const heartbeat &Heartbeat, boot_time Now);

  /// This instance's own next heartbeat.
  heartbeat makeHeartbeat(uint64_t ConfigurationVersion,
                          duration ConfigurationAge, boot_time Now) const;

  /// From now on this instance tells that it leaves.
  void startDraining();

  /// Whether every living peer has told that it knows that this one leaves.
  bool drainingKnownToAll(boot_time Now) const;

  const instance_info &self() const { return Self; }

  /// This instance and all others that are not forgotten, by name.
  std::vector<member> members(boot_time Now) const;

  /// The links by failure domain.
  std::map<std::string, link::domain_links> linksByDomain(boot_time Now) const;

private:
  struct record {
    instance_info Info;
    boot_time Introduced;
    bool HasRow = false;
    bool Draining = false;
    bool ListedDraining = false;
    bool KnowsSelfDraining = false;
    uint64_t ConfigurationVersion = 0;
    duration ConfigurationAge{0};
    boot_time LastHeartbeat;
  };

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
