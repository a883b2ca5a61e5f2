#pragma once

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "Platform/ConfigFollower.h"
#include "Platform/ConfigStore.h"
#include "Platform/MemoryPlatform.h"

namespace magnolia::platform {

/// Followers on simulated time, connected to each other and to a
/// memory_platform by links that can be cut in one direction.
class follower_fleet {
public:
  using time = common::boot_time;

  follower_fleet(size_t Count, uint64_t Seed);

  memory_platform &platform() { return Platform; }
  time now() const { return Now; }
  size_t size() const { return Instances.size(); }

  void runFor(std::chrono::milliseconds Duration);

  /// Cuts or restores the link from \p From to \p To.
  void cutLink(size_t From, size_t To, bool Cut);
  /// Cuts or restores all links between \p Instance and others, in both
  /// directions.
  void cutFromPeers(size_t Instance, bool Cut);
  void cutFromPlatform(size_t Instance, bool Cut);
  /// A paused instance does nothing; events for it are queued until it resumes.
  void pause(size_t Instance, bool Paused);
  /// Replaces the instance by a new process of the same name.
  void restart(size_t Instance);
  /// The same, but the new process knows only \p Peers.
  void restart(size_t Instance, const std::vector<size_t> &Peers);
  /// Sets which others \p Instance believes to be alive.
  void setPeers(size_t Instance, const std::vector<size_t> &Peers);
  /// Sets how many of a thousand messages between instances are lost.
  void setLoss(unsigned PerMille) { LossPerMille = PerMille; }

  /// Commits a new version and returns it; zero if the platform rejected it.
  uint64_t change();

  /// The time at which \p Version was accepted.
  time acceptedAt(uint64_t Version) const { return Accepted.at(Version); }

  uint64_t versionOf(size_t Instance) const;
  bool servesKeyed(size_t Instance) const;
  bool isPaused(size_t Instance) const { return Instances[Instance].Paused; }
  /// Whether every running instance has \p Version in force.
  bool allHave(uint64_t Version) const;

  /// Messages between instances since the start, and their encoded bytes.
  uint64_t messages() const { return Messages; }
  uint64_t messageBytes() const { return MessageBytes; }

  /// How often an instance activated a version that is not above its highest.
  uint64_t reverts() const { return Reverts; }

private:
  struct instance {
    std::string Name;
    std::unique_ptr<config_follower> Follower;
    uint64_t Incarnation = 0;
    uint64_t Highest = 0;
    bool Paused = false;
    bool PlatformCut = false;
    std::set<size_t> CutTo;
    std::vector<std::function<void()>> Waiting;
  };

  using reply = std::function<void(config_follower &)>;

  void start(size_t Index, const std::vector<size_t> &Peers);
  std::vector<size_t> allExcept(size_t Index) const;
  void schedule(std::chrono::microseconds Delay, std::function<void()> Event);
  void deliver(size_t Index, uint64_t Incarnation, reply Event);
  /// Calls the platform; \p Call runs at the platform and returns the reply.
  void callPlatform(size_t Index,
                    const std::function<reply(bool Reached)> &Call);
  void send(size_t From, const std::string &To, const config_message &Message);
  std::chrono::microseconds delay();

  std::mt19937_64 Random;
  memory_platform Platform;
  services Services;
  time Now;
  std::multimap<time, std::function<void()>> Events;
  std::vector<instance> Instances;
  std::map<uint64_t, time> Accepted;
  unsigned LossPerMille = 0;
  uint64_t Reverts = 0;
  uint64_t Messages = 0;
  uint64_t MessageBytes = 0;
};

} // namespace magnolia::platform
