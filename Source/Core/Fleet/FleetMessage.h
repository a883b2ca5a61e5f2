#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include <absl/status/statusor.h>

#include "Fleet/StoredRow.h"
#include "Placement/TargetSet.h"

/// What the instances of a fleet tell each other in datagrams, and what follows
/// from it. Datagrams may be lost: counts are totals since the sender's start,
/// so that a later message makes up for a lost one.
namespace magnolia::fleet {

using common::boot_time;
using duration = common::boot_clock::duration;

/// Whether callers should be sent to an instance.
enum class instance_state : uint8_t { Starting, Ready, Draining };

/// How an instance reads the store.
enum class reading_state : uint8_t {
  /// It relies on others.
  NotReading,
  /// It reads without a break for some time.
  Steady,
  /// It cannot read the store, or could not some moments ago.
  Failing,
  /// Steady for longer than lapsed entries take to come back: what is missing
  /// now was removed.
  LongSteady,
};

/// Whether an instance reads the store well.
constexpr bool isSteady(reading_state State) {
  return State == reading_state::Steady || State == reading_state::LongSteady;
}

/// The tables of the store that instances pass on to each other.
enum class table_id : uint8_t { Configuration, Targets, Count };

/// Whom an instance tells its news: each of its own failure domain, and others
/// through relays, since bytes between domains are dear.
enum class audience : uint8_t { SameDomain, OtherDomains, Count };
constexpr size_t AudienceCount = static_cast<size_t>(audience::Count);

/// Who an instance is.
struct instance_identity {
  std::string Name;
  std::string FailureDomain;
  /// "IPv4:port" for other instances, and for callers.
  std::string PeerAddress;
  std::string CallerAddress;

  friend bool operator==(const instance_identity &,
                         const instance_identity &) = default;
};

/// Introduces the sender.
struct hello_message {
  uint64_t Boot = 0;
  instance_identity Identity;
  instance_state State = instance_state::Starting;
  /// The receiver should introduce itself in turn.
  bool WantsReply = false;
  /// How long the sender has been running.
  std::chrono::milliseconds Uptime{0};
};

/// A workspace's requests that the sender admitted since its start.
struct workspace_total {
  uint32_t Key = 0;
  uint64_t Requests = 0;
};

/// A service's requests at the sender since its start.
struct service_total {
  uint32_t Key = 0;
  uint64_t Requests = 0;
  /// Second sends.
  uint64_t ExtraAttempts = 0;
  /// Requests that ended without success.
  uint64_t Failed = 0;
};

/// What one attempt showed of a target.
struct target_event {
  placement::target_key Target = 0;
  placement::evidence Evidence = placement::evidence::Succeeded;
  /// From the sending of the request to the message.
  uint32_t AgeMs = 0;
};

/// News since the sender's last message.
struct update_message {
  uint64_t Boot = 0;
  instance_state State = instance_state::Starting;
  reading_state Reading = reading_state::NotReading;
  /// The last change of each table that the sender knows.
  uint64_t ConfigurationChange = 0;
  uint64_t TargetsChange = 0;
  std::vector<workspace_total> Workspaces;
  std::vector<service_total> Services;
  /// All that are not listed have none.
  std::vector<placement::target_set::in_flight> InFlight;
  /// The sender's number of the first event.
  uint64_t FirstEvent = 0;
  std::vector<target_event> Events;
};

/// Changes of a table that the sender read from the store.
struct rows_message {
  uint64_t Boot = 0;
  table_id Table = table_id::Targets;
  /// The change before the first of these.
  uint64_t After = 0;
  std::vector<stored_row> Rows;
};

/// Another instance's message that its receiver passes on inside its failure
/// domain, or that was passed on so.
struct relayed_message {
  /// "IPv4:port" of the instance whose message it is.
  std::string Origin;
  /// The receiver passes it on; false when that was done.
  bool Forward = false;
  /// What encode() made of the message.
  std::string Bytes;
};

using message =
    std::variant<hello_message, update_message, rows_message, relayed_message>;

/// The bytes of one datagram.
std::string encode(const message &Message);

/// InvalidArgument for anything that is no message.
absl::StatusOr<message> decode(std::string_view Bytes);

/// A whole table for a peer that has missed changes.
std::string encodeSnapshot(absl::Span<const stored_row> Rows, uint64_t Version);
struct table_snapshot {
  std::vector<stored_row> Rows;
  uint64_t Version = 0;
};
absl::StatusOr<table_snapshot> decodeSnapshot(std::string_view Bytes);

/// The key under which a workspace's or service's totals travel.
uint32_t usageKey(std::string_view Name);

} // namespace magnolia::fleet
