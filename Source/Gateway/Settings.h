#pragma once

#include <map>
#include <optional>
#include <string>

#include "Admission/ShutdownPlan.h"
#include "Fleet/ColdTargets.h"
#include "Fleet/CollectorChoice.h"
#include "Fleet/FetchPlan.h"
#include "Fleet/FleetBuckets.h"
#include "Fleet/FleetBudgets.h"
#include "Fleet/FleetMessage.h"
#include "Fleet/PeerView.h"
#include "Fleet/ReaderDecision.h"
#include "Fleet/RequestQuarantine.h"
#include "Fleet/TargetLimits.h"
#include "Fleet/UrgentLimit.h"
#include "Gateway/ServiceQueues.h"
#include "Placement/Evacuations.h"
#include "Placement/LossFilter.h"
#include "Placement/ProbePolicy.h"
#include "Placement/TargetSet.h"

/// One instance of the proxy: it serves callers, forwards requests to targets,
/// follows the store and exchanges status updates with its peers, all on one
/// event loop.
namespace magnolia::gateway {

using common::boot_time;
using duration = common::boot_clock::duration;

/// Forwarding of requests to targets.
struct forward_settings {
  /// Another target is tried after this time without a connection.
  duration ConnectTimeout = std::chrono::milliseconds(250);
  /// A request that was not refused within this time counts as accepted.
  duration AcceptedAfter = std::chrono::milliseconds(60);
  /// A repeatable request is hedged after this fraction of the latency
  /// objective without a response.
  double HedgeAtFraction = 0.6;
  /// Fraction of the latency objective after which a request counts as stalled.
  double StalledAtFraction = 1.0;
  /// The same where gray targets accept requests and never respond, so that
  /// nothing else shows which targets are gray.
  double StalledAtFractionIfHanging = 0.6;
  placement::probe_settings Probing;
  /// The connection fails when a target does not acknowledge sent bytes for
  /// this long.
  duration UnacknowledgedTimeout = std::chrono::milliseconds(1500);
  /// Idle connections to targets that advertise no idle timeout are closed
  /// after this time, others one second before the advertised timeout.
  duration IdleTimeout = std::chrono::seconds(6);
  /// Delay before a target that refused a request without running it is tried
  /// again; it doubles each time.
  duration RefusalBackoff = std::chrono::milliseconds(60);
  /// Requests with less time left are not sent to a target.
  duration MinTimeLeft = std::chrono::milliseconds(20);
  /// How long a request waits until a target of its service is available.
  duration MaxTargetWait = std::chrono::milliseconds(400);
  /// Subtracted from the deadline that is sent to a target, for the network
  /// latency.
  duration NetworkAllowance = std::chrono::milliseconds(5);
  size_t MaxResponseBytes = size_t{64} * 1024 * 1024;
  /// Bytes of all requests and responses, from their first byte to when they
  /// are sent on.
  size_t MaxMessageBytes = size_t{192} * 1024 * 1024;
  /// Bytes of bodies that this instance has at one target, from when it is
  /// chosen until it has responded; none for no bound.
  std::optional<size_t> MaxRequestBytesAtTarget;
  /// A response that its caller has not fetched within this time is given up
  /// when others need the memory; none: never.
  std::optional<duration> FetchWithin;
};

/// Following the store.
struct follow_settings {
  /// How long the store holds a long poll without changes. A connection that
  /// went silent is detected only after this time, and a draining target must
  /// be known within two seconds.
  duration Wait = std::chrono::milliseconds(700);
  duration InitialRetryDelay = std::chrono::milliseconds(100);
  duration MaxRetryDelay = std::chrono::milliseconds(500);
  /// Maximum retry delay of instances that read only as a backup for failing
  /// readers.
  duration MaxBackupRetryDelay = std::chrono::milliseconds(2000);
  /// After a change the next read is delayed by this time, so that changes in
  /// quick succession cost one call.
  duration BatchDelay = std::chrono::milliseconds(300);
  /// Entries that expired while the store was unavailable may reappear within
  /// this time.
  duration ExpiryGrace = std::chrono::milliseconds(2300);
  /// Time for which a backup waits for the content of a restored store from
  /// others before it reads the store.
  duration BackupSnapshotDelay = std::chrono::milliseconds(800);
  /// The store removes the entry of a dead target within this time.
  duration DeadEntryLifetime = std::chrono::milliseconds(6000);
};

/// Status updates to peers.
struct update_settings {
  duration Period = std::chrono::milliseconds(250);
  /// The period for other failure domains, of instances that do not read the
  /// store.
  duration OtherDomainsPeriod = std::chrono::milliseconds(500);
  /// Maximum time between two updates.
  duration Heartbeat = std::chrono::milliseconds(400);
  /// Period at which an update carries all totals, because messages may be
  /// lost.
  duration FullUpdatePeriod = std::chrono::milliseconds(2000);
};

struct settings {
  /// Empty addresses are replaced by the bound ones.
  fleet::instance_identity Identity;
  /// "IPv4:port"; with port 0 the system chooses one.
  std::string CallerListen;
  /// "IPv4:port" for connections and datagrams of other instances.
  std::string PeerListen;
  /// The region of each failure domain.
  std::map<std::string, std::string> Regions;
  /// How long callers may cache a directory response.
  duration DirectoryTtl = std::chrono::seconds(2);
  size_t MaxCallerConnections = 8000;
  forward_settings Forward;
  follow_settings Follow;
  update_settings Updates;
  admission::shutdown_settings Shutdown;
  queue_settings Queues;
  fleet::budget_settings Budget;
  fleet::limit_settings Limits;
  fleet::cold_settings Cold;
  fleet::quarantine_settings Quarantine;
  fleet::bucket_settings Rates;
  fleet::peer_settings Peers;
  fleet::reader_settings Readers;
  fleet::collector_settings Collectors;
  fleet::fetch_settings Fetch;
  fleet::urgent_settings Urgent;
  placement::placement_settings Placement;
  placement::evacuation_settings Evacuations;
  placement::loss_settings Losses;
};

} // namespace magnolia::gateway
