#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include <absl/status/statusor.h>

#include "Fleet/AcceptedConfiguration.h"
#include "Fleet/MachineStrength.h"
#include "Fleet/SharedTable.h"
#include "Placement/TargetSet.h"

/// The messages that the instances of a fleet send each other as datagrams, and
/// the state derived from them. Datagrams may be lost: counts are totals since
/// the sender's start, so that a later message makes up for a lost one.
namespace magnolia::fleet {

using common::boot_time;
using duration = common::boot_clock::duration;

/// Whether callers should be routed to an instance.
enum class instance_state : uint8_t { Starting, Ready, Draining };

/// Whether an instance reads the store, and how reliably.
enum class reading_state : uint8_t {
  /// It relies on other instances.
  NotReading,
  /// It has read the store without interruption for some time.
  Steady,
  /// It cannot read the store, or could not a few moments ago.
  Failing,
  /// Steady for longer than expired entries take to reappear: an entry that is
  /// missing now was removed.
  LongSteady,
};

/// Whether the instance reads the store without interruption.
constexpr bool isSteady(reading_state State) {
  return State == reading_state::Steady || State == reading_state::LongSteady;
}

/// The tables of the store that instances forward to each other.
enum class table_id : uint8_t { Configuration, Targets, Count };
constexpr size_t TableCount = static_cast<size_t>(table_id::Count);

/// The receivers of an instance's updates: the instances of its own failure
/// domain directly, others through a collector and relays, since traffic
/// between failure domains is expensive.
enum class audience : uint8_t { SameDomain, OtherDomains, Count };
constexpr size_t AudienceCount = static_cast<size_t>(audience::Count);

struct instance_identity {
  std::string Name;
  std::string FailureDomain;
  /// "IPv4:port" for other instances and for callers.
  std::string PeerAddress;
  std::string CallerAddress;
  /// Not part of its registration in the store, only of its messages.
  machine_strength Strength = {};

  friend bool operator==(const instance_identity &,
                         const instance_identity &) = default;
};

/// Introduces the sender.
struct hello_message {
  /// Identifies this run of the sender and is never zero; a restarted instance
  /// has another one.
  uint64_t Boot = 0;
  instance_identity Identity;
  instance_state State = instance_state::Starting;
  /// Asks the receiver to introduce itself in turn.
  bool WantsReply = false;
  /// Time since the sender's start.
  std::chrono::milliseconds Uptime{0};
};

/// Number of a workspace's requests that the sender admitted since its start.
struct workspace_total {
  uint32_t Key = 0;
  uint64_t Requests = 0;
};

/// Number of a service's requests at the sender since its start.
struct service_total {
  uint32_t Key = 0;
  uint64_t Requests = 0;
  /// Retries and hedges.
  uint64_t ExtraAttempts = 0;
  /// Requests that ended without success.
  uint64_t Failed = 0;
  /// Of ExtraAttempts, the second sends within an operator's limit. Senders
  /// without that limit report this and the next two as zero.
  uint64_t SecondSends = 0;
  /// Sends whose usual latency was known, and those of them that took longer.
  uint64_t TimedSends = 0;
  uint64_t LateSends = 0;
};

/// What one attempt revealed about a target.
struct target_event {
  placement::target_key Target = 0;
  placement::evidence Evidence = placement::evidence::Succeeded;
  /// Time from sending the request to sending this message, in milliseconds.
  uint32_t AgeMs = 0;
};

/// What a target said of its limit to the sender, and the sender's requests to
/// it since the sender's start.
struct limit_report {
  placement::target_key Target = 0;
  /// Requests per second; none if the target has no limit any more.
  std::optional<double> PerSecond;
  /// Time from the response to sending this message, in milliseconds.
  uint32_t AgeMs = 0;
  uint64_t Requests = 0;
};

/// A run of a request during which its target ended.
struct ended_run {
  placement::target_key Target = 0;
  boot_time SentAt;
  boot_time EndedAt;
};

/// What the sender knows of a request under which targets ended.
struct suspect_report {
  struct run {
    placement::target_key Target = 0;
    /// Time from sending the request to the target's end, in milliseconds.
    uint32_t RanMs = 0;
    /// Time from then to sending this message, in milliseconds.
    uint32_t AgeMs = 0;
  };

  /// Equal for requests that ask the same of a target.
  uint64_t Fingerprint = 0;
  /// Time since a target completed it, in milliseconds.
  std::optional<uint32_t> CompletedAgeMs;
  std::vector<run> Runs;
};

/// What changed since the sender's last update.
struct update_message {
  uint64_t Boot = 0;
  /// Increases with each update of the sender, from one on; they take different
  /// paths and may arrive out of order.
  uint64_t Number = 0;
  instance_state State = instance_state::Starting;
  reading_state Reading = reading_state::NotReading;
  /// What the sender has of each table, in the order of table_id; all zero in
  /// an update that does not say.
  std::array<table_status, TableCount> Tables;
  std::vector<workspace_total> Workspaces;
  std::vector<service_total> Services;
  /// Targets that are not listed have no requests in flight.
  std::vector<placement::target_set::in_flight> InFlight;
  /// The sender's sequence number of the first event.
  uint64_t FirstEvent = 0;
  std::vector<target_event> Events;
  std::vector<limit_report> Limits;
  std::vector<suspect_report> Suspects;
  /// What is in force at the sender, if the store's table holds another
  /// configuration.
  std::optional<configuration_offer> LostConfiguration;
};

/// Evidence about targets that must not wait for the next update. Its events
/// are numbered like those of the updates, which repeat the last ones.
struct events_message {
  uint64_t Boot = 0;
  uint64_t First = 0;
  std::vector<target_event> Events;
};

/// Changes of a table that the sender read from the store.
struct rows_message {
  table_id Table = table_id::Targets;
  /// The era of the store in which they were read.
  uint64_t Era = 0;
  std::vector<stored_row> Rows;
};

/// What the receiver of a bundle does with it, besides applying the messages.
enum class bundle_route : uint8_t {
  /// Nothing: it is the last one.
  Deliver,
  /// It is a relay and forwards the bundle inside its failure domain.
  ForwardInDomain,
  /// It is the collector of the sender's failure domain and forwards the
  /// messages to all other domains, together with those of others.
  Collect,
  Count
};

/// An encoded message and the instance that sent it first.
struct bundled_message {
  /// "IPv4:port".
  std::string Origin;
  std::string Bytes;
};

/// Messages on their way to other failure domains.
struct bundle_message {
  bundle_route Route = bundle_route::Deliver;
  std::vector<bundled_message> Messages;
};

using message = std::variant<hello_message, update_message, events_message,
                             rows_message, bundle_message>;

/// Whether an update says what its sender has of the tables.
bool isStated(const std::array<table_status, TableCount> &Tables);

/// Encodes the message as one datagram.
std::string encode(const message &Message);

/// InvalidArgument if \p Bytes is not a valid message.
absl::StatusOr<message> decode(std::string_view Bytes);

/// Encodes what a peer fetches of a table.
std::string encodeContent(const table_content &Content);
/// InvalidArgument if \p Bytes is not valid content.
absl::StatusOr<table_content> decodeContent(std::string_view Bytes);

/// The key that identifies a workspace or a service in messages.
uint32_t usageKey(std::string_view Name);

/// The same for the requests of one rank of a service.
uint32_t rankKey(std::string_view Service, size_t Rank);

} // namespace magnolia::fleet
