#pragma once

#include <functional>
#include <string>
#include <vector>

#include <absl/container/flat_hash_map.h>

#include "Fleet/FleetMessage.h"

namespace magnolia::fleet {

/// When a silent instance counts as lost.
struct peer_settings {
  /// Callers are sent to it no more, and its share of rates is not used.
  duration UnreachableAfter = std::chrono::milliseconds(2500);
  /// One instance's word that the store was there all the while holds so long.
  duration LongSteadyMaxAge = std::chrono::milliseconds(800);
};

/// Another instance as this one knows it.
struct peer {
  uint64_t Boot = 0;
  instance_identity Identity;
  instance_state State = instance_state::Starting;
  reading_state Reading = reading_state::NotReading;
  boot_time LastReceived;
  /// It was running before this instance: its first totals tell of requests
  /// from before this instance's time too.
  bool StartedEarlier = false;
  /// Number of the next event that was not taken in yet.
  uint64_t NextEvent = 0;
  absl::flat_hash_map<uint32_t, workspace_total> Workspaces;
  absl::flat_hash_map<uint32_t, service_total> Services;
};

/// What a message of a peer changes.
struct peer_hooks {
  std::function<void(const peer &Peer)> OnAppeared;
  /// Requests of \p Key that the peer admitted since its last message.
  std::function<void(uint32_t Key, uint64_t Requests)> OnWorkspaceUse;
  /// Requests of \p Key that an elder peer admitted so far, some of them
  /// before this instance's time.
  std::function<void(uint32_t Key, uint64_t Requests)> OnEarlierUse;
  /// What the peer's totals of a service grew by.
  std::function<void(const service_total &Growth)> OnServiceUse;
  std::function<void(const target_event &Event)> OnEvent;
  /// Called last, for all else that news tell.
  std::function<void(const peer &Peer, const update_message &Update)> OnUpdate;
};

/// The other instances of the fleet. Free of clocks; not thread-safe.
class peer_view {
public:
  /// \p Started: when this instance began to count.
  peer_view(std::string OwnName, uint64_t OwnBoot, boot_time Started,
            peer_settings Settings, peer_hooks Hooks)
      : OwnName(std::move(OwnName)), OwnBoot(OwnBoot), Started(Started),
        Settings(Settings), Hooks(std::move(Hooks)) {}

  /// An instance that the store names; it is not known to live.
  void addRegistered(const instance_identity &Identity);

  void apply(const hello_message &Hello, boot_time Now);

  /// False when the sender is unknown and must introduce itself.
  bool apply(const update_message &Update, boot_time Now);

  /// Whether \p Peer was heard lately.
  bool isReachable(const peer &Peer, boot_time Now) const {
    return Peer.LastReceived != boot_time() &&
           Now - Peer.LastReceived < Settings.UnreachableAfter;
  }

  /// Instances heard lately, this one not counted.
  size_t reachableCount(boot_time Now) const;

  /// Whether one instance has read the store without a break for long, or at
  /// least half of those heard lately that read it did so without a break;
  /// false when none is heard.
  bool othersReadSteadily(boot_time Now) const;

  /// Instances known, this one not counted.
  size_t size() const { return Peers.size(); }

  /// The part of the fleet that this instance is in touch with, itself
  /// included: above zero, one when every known instance is heard.
  double reachableFraction(boot_time Now) const;

  /// All known instances by name.
  const absl::flat_hash_map<std::string, peer> &peers() const { return Peers; }

private:
  peer *byBoot(uint64_t Boot);
  void applyWorkspaceTotal(peer &Peer, const workspace_total &Total,
                           bool Charged);
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
