#pragma once

#include <array>
#include <deque>
#include <memory>
#include <string>

#include <absl/status/statusor.h>

#include "Fleet/FleetBuckets.h"
#include "Fleet/FleetBudgets.h"
#include "Fleet/PeerView.h"
#include "Gateway/Settings.h"
#include "Gateway/Store.h"
#include "Net/Event/Datagram.h"
#include "Placement/TargetSet.h"

namespace magnolia::gateway {

/// Exchanges status updates with all peers by datagram: their state, admitted
/// requests and evidence about targets.
class fleet_agent {
public:
  struct hooks {
    std::function<fleet::instance_state()> State;
    /// Fills in the status of the store tables.
    std::function<void(fleet::update_message &Update)> FillTableStatus;
    std::function<void(const fleet::peer &Peer,
                       const fleet::update_message &Update)>
        OnUpdate;
    std::function<void(const fleet::rows_message &Rows)> OnRows;
  };

  static absl::StatusOr<std::unique_ptr<fleet_agent>>
  open(event::event_loop &Loop, const settings &Settings,
       placement::target_set &TargetSet, store_table Instances, hooks Hooks);

  /// Registers this instance in the store and discovers the others.
  void start();

  /// Sends an update to all peers within milliseconds, for example when this
  /// instance starts draining.
  void announce();

  /// Forwards changed rows of a table to all peers.
  void send(const fleet::rows_message &Rows);

  /// Queues the evidence of an attempt of this instance for the next update; a
  /// failure is sent within milliseconds.
  void report(const placement::target &Target, placement::evidence Evidence,
              boot_time SentAt);

  fleet::fleet_buckets &buckets() { return Buckets; }
  fleet::fleet_budgets &budgets() { return Budgets; }
  const fleet::peer_view &peers() const { return *Peers; }
  double reachableFraction() const {
    return Peers->reachableFraction(Loop.now());
  }
  /// The fraction of the registered fleet that this instance is.
  double ownFraction() const {
    return 1 / static_cast<double>(Peers->size() + 1);
  }

private:
  struct pending_event {
    placement::target_key Target = 0;
    placement::evidence Evidence = placement::evidence::Succeeded;
    boot_time SentAt;
    bool IsFailure = false;
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
  void onReceive(const sockaddr_in &From, std::string_view Bytes);
  void onRelayed(const fleet::relayed_message &Relayed);
  void sendHello(const sockaddr_in &To, bool WantsReply);
  void sendPeriodicUpdates();
  void sendUpdate(fleet::audience Audience, bool Periodic);
  fleet::update_message makeUpdate(fleet::audience Audience, bool Full);
  void sendTo(fleet::audience Audience, std::string_view Bytes);
  void sendTo(const fleet::peer &Peer, std::string_view Bytes);
  /// Sends \p Bytes to all other failure domains through relays; urgent
  /// messages take two relays each.
  void sendToOtherDomains(std::string_view Bytes, bool Urgent);

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
  std::array<audience_state, fleet::AudienceCount> AudienceStates;
  /// Counts the messages to other failure domains, to rotate the relays.
  uint64_t RelayRound;
  bool UpdateScheduled = false;
  bool Registered = false;
  bool InstancesRead = false;
};

/// Row value under which an instance registers itself in the store.
std::string encodeIdentity(const fleet::instance_identity &Identity);
absl::StatusOr<fleet::instance_identity> decodeIdentity(std::string_view Bytes);

} // namespace magnolia::gateway
