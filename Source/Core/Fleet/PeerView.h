#pragma once

#include <functional>
#include <string>
#include <vector>

#include <absl/container/flat_hash_map.h>

#include "Fleet/FleetMessage.h"

namespace magnolia::fleet {

/// Timeouts of a peer_view.
struct peer_settings {
  /// A peer that sent nothing for this long is unreachable: callers are no
  /// longer routed to it, and its part of the rates is not used.
  duration UnreachableAfter = std::chrono::milliseconds(2500);
  /// How long the LongSteady state that a single peer reported remains valid.
  duration LongSteadyMaxAge = std::chrono::milliseconds(800);
};

/// A peer's state as known from its messages.
struct peer {
  /// As in hello_message; zero until the peer's first one arrived.
  uint64_t Boot = 0;
  instance_identity Identity;
  instance_state State = instance_state::Starting;
  reading_state Reading = reading_state::NotReading;
  /// As in its last update that said so.
  std::array<table_status, TableCount> Tables;
  boot_time LastReceived;
  /// It started before this instance, so its first totals include requests from
  /// before this instance's start.
  bool StartedEarlier = false;
  /// Number of the latest update that was applied.
  uint64_t LastUpdate = 0;
  /// Sequence number of the next event that was not applied yet.
  uint64_t NextEvent = 0;
  absl::flat_hash_map<uint32_t, workspace_total> Workspaces;
  absl::flat_hash_map<uint32_t, service_total> Services;
  /// Reported requests to targets with a limit.
  absl::flat_hash_map<placement::target_key, uint64_t> LimitedRequests;
};

/// Called for what a peer's message changes.
struct peer_hooks {
  std::function<void(const peer &Peer)> OnAppeared;
  /// Requests of \p Key that the peer admitted since its last message.
  std::function<void(uint32_t Key, uint64_t Requests)> OnWorkspaceUse;
  /// Requests of \p Key that a peer that started earlier has admitted so far,
  /// some of them before this instance's start.
  std::function<void(uint32_t Key, uint64_t Requests)> OnEarlierUse;
  /// The increase of the peer's totals of a service.
  std::function<void(const service_total &Growth)> OnServiceUse;
  std::function<void(const target_event &Event)> OnEvent;
  /// A limit, and the increase of the peer's requests to that target.
  std::function<void(const limit_report &Report, uint64_t Growth)> OnLimit;
  std::function<void(const suspect_report &Report)> OnSuspect;
  /// Called last, for all other content of the update.
  std::function<void(const peer &Peer, const update_message &Update)> OnUpdate;
};

/// The other instances of the fleet, as known from the store and from their
/// messages. Reads no clock; not thread-safe.
class peer_view {
public:
  /// \p Started: when this instance started counting.
  peer_view(std::string OwnName, uint64_t OwnBoot, boot_time Started,
            peer_settings Settings, peer_hooks Hooks)
      : OwnName(std::move(OwnName)), OwnBoot(OwnBoot), Started(Started),
        Settings(Settings), Hooks(std::move(Hooks)) {}

  /// Adds an instance that is registered in the store; it may not be running.
  void addRegistered(const instance_identity &Identity);

  void apply(const hello_message &Hello, boot_time Now);

  /// False if the sender is unknown and must introduce itself.
  bool apply(const update_message &Update, boot_time Now);
  bool apply(const events_message &Events);

  /// Whether a message of \p Peer arrived within UnreachableAfter.
  bool isReachable(const peer &Peer, boot_time Now) const {
    return Peer.LastReceived != boot_time() &&
           Now - Peer.LastReceived < Settings.UnreachableAfter;
  }

  /// Number of reachable instances, this one not counted.
  size_t reachableCount(boot_time Now) const;

  /// Whether a peer recently reported LongSteady, or at least half of the
  /// reachable peers that read the store read it without interruption; false if
  /// no reachable peer reads it.
  bool othersReadSteadily(boot_time Now) const;

  /// Number of known instances, this one not counted.
  size_t size() const { return Peers.size(); }

  /// The reachable fraction of the fleet, this instance included: above zero,
  /// and one if every known instance is reachable.
  double reachableFraction(boot_time Now) const;

  /// All known instances by name.
  const absl::flat_hash_map<std::string, peer> &peers() const { return Peers; }

private:
  peer *byBoot(uint64_t Boot);
  void applyEvents(peer &Peer, uint64_t First,
                   absl::Span<const target_event> Events);
  void applyWorkspaceTotal(peer &Peer, const workspace_total &Total,
                           bool Charged);
  void applyLimit(peer &Peer, const limit_report &Report, bool Charged);
  void applyServiceTotal(peer &Peer, const service_total &Total, bool Charged);

  const std::string OwnName;
  const uint64_t OwnBoot;
  const boot_time Started;
  const peer_settings Settings;
  const peer_hooks Hooks;
  absl::flat_hash_map<std::string, peer> Peers;
  absl::flat_hash_map<uint64_t, std::string> NameByBoot;
};

} // namespace magnolia::fleet
