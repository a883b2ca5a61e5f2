#pragma once

#include <array>
#include <deque>
#include <memory>
#include <string>

#include <absl/status/statusor.h>

#include "Fleet/ColdTargets.h"
#include "Fleet/CollectorChoice.h"
#include "Fleet/FleetBuckets.h"
#include "Fleet/FleetBudgets.h"
#include "Fleet/PeerView.h"
#include "Fleet/RequestQuarantine.h"
#include "Fleet/TargetLimits.h"
#include "Fleet/UrgentLimit.h"
#include "Gateway/Settings.h"
#include "Gateway/Store.h"
#include "Net/Event/Datagram.h"
#include "Placement/TargetSet.h"

namespace magnolia::gateway {

/// Datagrams to and from peers since the start.
struct peer_traffic {
  struct sent {
    uint64_t Messages = 0;
    uint64_t Bytes = 0;
  };
  /// By fleet::audience, of all kinds but introductions.
  std::array<sent, fleet::AudienceCount> Sent;
  uint64_t Introductions = 0;
  /// Updates of this instance for other failure domains.
  uint64_t Updates = 0;
  /// Messages with changed rows that this instance read from the store.
  uint64_t RowsMessages = 0;
  uint64_t Received = 0;
  uint64_t ReceivedBytes = 0;
  /// Failures that waited for the next update, since too many urgent messages
  /// were sent.
  uint64_t UrgentDelayed = 0;
};

/// Exchanges status updates with all peers by datagram: their state, admitted
/// requests and evidence about targets. The instances of one failure domain
/// send each other their updates directly. A collector in each domain bundles
/// those for the other domains, where a relay, another one for each bundle,
/// forwards them to its neighbors.
class fleet_agent {
public:
  struct hooks {
    std::function<fleet::instance_state()> State;
    /// Fills in the status of the store tables.
    std::function<void(fleet::update_message &Update)> FillTableStatus;
    /// Whether this instance reads the store.
    std::function<bool()> IsReading;
    std::function<void(const fleet::peer &Peer,
                       const fleet::update_message &Update)>
        OnUpdate;
    std::function<void(const fleet::rows_message &Rows)> OnRows;
    /// A peer told of the outcome of one of its attempts.
    std::function<void(const fleet::target_event &Event)> OnEvent;
    /// A peer told of a changed limit of a target.
    std::function<void(const fleet::limit_report &Report)> OnLimit;
  };

  static absl::StatusOr<std::unique_ptr<fleet_agent>>
  open(event::event_loop &Loop, const settings &Settings,
       placement::target_set &TargetSet, store_table Instances, hooks Hooks);

  /// Registers this instance in the store and discovers the others.
  void start();

  /// Writes the registrations again that the store lost when it was restored
  /// from an older copy: this instance's and those of its peers. Of the
  /// instances that read the store, the others wait to see who still does.
  void restoreRegistrations();

  /// Writes the quarantine of a request to the store, for instances that start
  /// when no other one is left to tell them.
  void storeQuarantine(uint64_t Fingerprint);
  /// Records that a target completed a request, which ends its quarantine.
  void completeQuarantine(uint64_t Fingerprint);

  /// Sends an update to all peers within milliseconds, for example when this
  /// instance starts draining.
  void announce();
  /// The same for the peers of the own failure domain alone.
  void announceInDomain();

  /// Forwards changed rows of a table to all peers.
  void send(const fleet::rows_message &Rows);

  /// Queues the evidence of an attempt of this instance for the next update. A
  /// failure that \p IsNews to the fleet is sent within milliseconds.
  void report(const placement::target &Target, placement::evidence Evidence,
              boot_time SentAt, bool IsNews);

  fleet::fleet_buckets &buckets() { return Buckets; }
  fleet::fleet_budgets &budgets() { return Budgets; }
  fleet::target_limits &limits() { return Limits; }
  fleet::request_quarantine &quarantine() { return Quarantine; }
  const fleet::peer_view &peers() const { return *Peers; }
  const peer_traffic &traffic() const { return Traffic; }
  double reachableFraction() const {
    return Peers->reachableFraction(Loop.now());
  }
  fleet::fleet_part reachablePart() const {
    return {reachableFraction(), Peers->reachableCount(Loop.now()) + 1};
  }
  /// The registered instances, this one included; none before they were read.
  std::vector<fleet::fleet_member> registeredMembers() const;
  /// This instance and the peers that are reachable and serve callers.
  placement::fleet_members servingMembers() const;
  /// The fraction of the registered fleet that this instance is.
  double ownFraction() const {
    return 1 / static_cast<double>(Peers->size() + 1);
  }

private:
  struct pending_event {
    placement::target_key Target = 0;
    placement::evidence Evidence = placement::evidence::Succeeded;
    boot_time SentAt;
    bool IsUrgent = false;
    /// Number of messages that carried it.
    int SentCount = 0;
  };

  /// State of the updates to one audience.
  struct audience_state {
    std::deque<pending_event> Events;
    uint64_t FirstEvent = 0;
    boot_time LastSent;
    boot_time LastFull;
    size_t LastInFlight = 0;
  };

  fleet_agent(event::event_loop &Loop, const settings &Settings,
              placement::target_set &TargetSet, store_table Instances,
              hooks Hooks);
  void registerInstance();
  void readInstances();
  /// Whether this instance is one of those on which the others rely for the
  /// store.
  bool isPreferredReader() const;
  /// Takes over the quarantines among \p Rows; those that have ended are
  /// removed from the store by one of the instances.
  void restoreQuarantines(absl::Span<const stored_row> Rows);
  void removeStoredQuarantines(std::vector<row_write> Rows);
  void writeMissingRegistrations();
  /// The identities of this instance and its reachable peers that are not among
  /// \p Rows.
  std::vector<row_write>
  missingRegistrations(absl::Span<const stored_row> Rows) const;
  void onReceive(const sockaddr_in &From, std::string_view Bytes);
  /// Applies a message that is no bundle.
  void apply(const sockaddr_in &From, const fleet::message &Message);
  void onBundle(const fleet::bundle_message &Bundle);
  /// Applies the messages of a bundle.
  void deliver(const fleet::bundle_message &Bundle);
  void sendHello(const sockaddr_in &To, bool WantsReply);
  void sendPeriodicUpdates();
  bool isUpdateDue(fleet::audience Audience) const;
  audience_state &stateOf(fleet::audience Audience) {
    return AudienceStates.at(static_cast<size_t>(Audience));
  }
  void sendUpdate(fleet::audience Audience, bool Urgent);
  void scheduleUpdate(fleet::audience Audience);
  void sendUrgentEvents();
  fleet::update_message makeUpdate(fleet::audience Audience, bool Full);
  /// The evidence to send to \p Audience, which counts as sent.
  std::vector<fleet::target_event> takeEvents(fleet::audience Audience);
  /// Hands an update for other failure domains to the collector.
  void handToCollector(std::string Bytes);
  /// Forwards messages to other failure domains, soon and with others.
  void collect(std::vector<fleet::bundled_message> Messages);
  void sendCollected();
  void sendInDomain(std::string_view Bytes);
  void sendTo(const fleet::peer &Peer, std::string_view Bytes);
  /// Sends messages to all other failure domains through relays.
  void sendToOtherDomains(std::vector<fleet::bundled_message> Messages);
  fleet::bundled_message ownMessage(std::string Bytes) const {
    return {Settings.Identity.PeerAddress, std::move(Bytes)};
  }

  event::event_loop &Loop;
  const settings &Settings;
  placement::target_set &TargetSet;
  const store_table Instances;
  const hooks Hooks;
  const uint64_t Boot;
  const boot_time Started;
  std::unique_ptr<event::datagram_socket> Socket;
  std::unique_ptr<fleet::peer_view> Peers;
  fleet::fleet_buckets Buckets;
  fleet::fleet_budgets Budgets;
  fleet::target_limits Limits;
  fleet::request_quarantine Quarantine;
  std::array<audience_state, fleet::AudienceCount> AudienceStates;
  /// Number of the last update of this instance.
  uint64_t LastUpdate = 0;
  /// Counts the messages to other failure domains, to rotate the relays.
  uint64_t RelayRound;
  /// Counts this instance's updates, to rotate the collectors.
  uint64_t CollectorRound = 0;
  /// What this instance collected for other failure domains.
  std::vector<fleet::bundled_message> Collected;
  size_t CollectedBytes = 0;
  /// When the first of it was received.
  boot_time CollectedSince;
  fleet::urgent_limit UrgentLimit;
  peer_traffic Traffic;
  /// By audience.
  std::array<bool, fleet::AudienceCount> UpdateScheduled{};
  bool EventsScheduled = false;
  bool Registered = false;
  bool InstancesRead = false;
};

/// Row value under which an instance registers itself in the store.
std::string encodeIdentity(const fleet::instance_identity &Identity);
absl::StatusOr<fleet::instance_identity> decodeIdentity(std::string_view Bytes);

} // namespace magnolia::gateway
