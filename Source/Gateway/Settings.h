#pragma once

#include <string>

#include "Fleet/FleetBuckets.h"
#include "Fleet/FleetBudgets.h"
#include "Fleet/FleetMessage.h"
#include "Fleet/PeerView.h"
#include "Fleet/ReaderDecision.h"
#include "Placement/LossFilter.h"
#include "Placement/TargetSet.h"

/// One instance: it serves callers, forwards to targets, follows the store and
/// talks with its peers, all on one event loop.
namespace magnolia::gateway {

using common::boot_time;
using duration = common::boot_clock::duration;

/// How requests are sent on.
struct forward_settings {
  /// A target that does not take a connection in this time is left for another.
  duration ConnectTimeout = std::chrono::milliseconds(250);
  /// A request that was not turned away in this time was taken.
  duration AcceptedAfter = std::chrono::milliseconds(60);
  /// A second send of a repeatable request starts at this part of the latency
  /// objective without an answer.
  double HedgeAtFraction = 0.6;
  /// At this part of the objective a request counts as stalled.
  double StalledAtFraction = 1.0;
  /// Sent bytes that a target does not acknowledge for this long break the
  /// connection.
  duration UnacknowledgedTimeout = std::chrono::milliseconds(1500);
  /// Idle connections of targets that do not say when they close them are
  /// closed after this time, others a second before the target would.
  duration IdleTimeout = std::chrono::seconds(6);
  /// Pause before a target is asked again that refused without running; it
  /// doubles each time.
  duration RefusalBackoff = std::chrono::milliseconds(60);
  /// Requests with less time left are not sent.
  duration MinTimeLeft = std::chrono::milliseconds(20);
  /// How long a request waits for a first target of its service.
  duration MaxTargetWait = std::chrono::milliseconds(400);
  /// Taken off the deadline that a target is told, for the way there.
  duration NetworkAllowance = std::chrono::milliseconds(5);
  size_t MaxResponseBytes = size_t{64} * 1024 * 1024;
};

/// How the store is followed.
struct follow_settings {
  /// The longest time that the store holds an unanswered read. A connection
  /// that went silent shows only after it, and news of a leaving target must
  /// not be two seconds late.
  duration Wait = std::chrono::milliseconds(700);
  duration InitialRetryDelay = std::chrono::milliseconds(100);
  duration MaxRetryDelay = std::chrono::milliseconds(500);
  /// The same for instances that read only because others cannot.
  duration MaxBackupRetryDelay = std::chrono::milliseconds(2000);
  /// After a change the next read waits for this long, so that changes in quick
  /// succession cost one call.
  duration BatchDelay = std::chrono::milliseconds(300);
  /// Entries that lapsed while the store was away may come back in this time.
  duration ExpiryGrace = std::chrono::milliseconds(2300);
};

/// How peers are kept informed.
struct update_settings {
  duration Period = std::chrono::milliseconds(250);
  /// A message goes out at least this often.
  duration Heartbeat = std::chrono::milliseconds(400);
  /// All totals are told this often, since messages may be lost.
  duration FullUpdatePeriod = std::chrono::milliseconds(2000);
};

/// A planned stop.
struct shutdown_settings {
  /// After this time the process is ended from outside.
  duration Grace = std::chrono::seconds(6);
  /// After this time only requests are taken that must be answered before the
  /// end; those that came earlier may be cut off at it. By then all callers
  /// have new answers of the directory.
  duration AcceptAllPeriod = std::chrono::seconds(3);
  /// New connections are taken until this much of the grace time is left.
  duration StopListeningBefore = std::chrono::milliseconds(1000);
  /// The process ends at the latest when this much is left.
  duration ExitBefore = std::chrono::milliseconds(150);
};

struct settings {
  /// Addresses that are left empty become the bound ones.
  fleet::instance_identity Identity;
  /// "IPv4:port"; port 0 lets the system choose.
  std::string CallerListen;
  /// The same, for connections and datagrams of other instances.
  std::string PeerListen;
  /// How long callers may keep an answer of the directory.
  duration DirectoryTtl = std::chrono::seconds(2);
  size_t MaxCallerConnections = 8000;
  forward_settings Forward;
  follow_settings Follow;
  update_settings Updates;
  shutdown_settings Shutdown;
  fleet::budget_settings Budget;
  fleet::bucket_settings Rates;
  fleet::peer_settings Peers;
  fleet::reader_settings Readers;
  placement::placement_settings Placement;
  placement::loss_settings Losses;
};

} // namespace magnolia::gateway
