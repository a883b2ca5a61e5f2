#pragma once

#include <algorithm>
#include <atomic>
#include <functional>
#include <random>
#include <string_view>
#include <vector>

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include "Common/Time.h"
#include "Contract/Snapshot.h"
#include "Magnoliad/Background.h"
#include "Magnoliad/PeerMessenger.h"
#include "Magnoliad/Settings.h"
#include "Platform/ConfigFollower.h"

namespace magnolia::daemon {

/// Runs the configuration follower: polls and downloads on background threads,
/// messages through the peer messenger. Thread-safe.
class config_agent {
public:
  using apply_hook = std::function<void(const contract::snapshot_ptr &)>;

  config_agent(const settings &Settings, platform::services Services,
               background &Background, peer_messenger &Messenger,
               apply_hook Apply);

  /// Starts polls, queries and downloads that are due; call about every 100 ms.
  void advance(common::boot_time Now);

  void setPeers(std::vector<std::string> Peers);

  /// The configuration in force; null before the first one.
  contract::snapshot_ptr snapshot() const { return Current.load(); }

  /// Version in force; zero before the first one.
  uint64_t version() const;

  /// Whether keyed requests may be served now.
  bool isFresh() const { return common::boot_clock::now() < KeyedUntil.load(); }

  /// Time since the last proof that the configuration was fresh.
  common::boot_clock::duration age(common::boot_time Now) const {
    return std::max(common::boot_clock::duration::zero(),
                    Now + StaleAfter - KeyedUntil.load());
  }

  platform::follower_counters counters();

private:
  platform::follower_hooks makeHooks();
  void pollHead(uint64_t Poll);
  void fetchObject(uint64_t Attempt, const std::string &Digest);
  void receive(const std::string &From, std::string_view Body);
  template <typename Function> void withFollower(Function &&Fn);

  const milliseconds StaleAfter;
  const platform::services Services;
  background &Background;
  peer_messenger &Messenger;
  const apply_hook Apply;
  std::atomic<contract::snapshot_ptr> Current;
  std::atomic<common::boot_time> KeyedUntil{common::boot_time()};
  absl::Mutex Mutex;
  std::mt19937_64 Random ABSL_GUARDED_BY(Mutex);
  platform::config_follower Follower ABSL_GUARDED_BY(Mutex);
};

} // namespace magnolia::daemon
