#pragma once

#include <array>
#include <cstddef>
#include <utility>

#include <absl/base/thread_annotations.h>
#include <absl/container/flat_hash_map.h>
#include <absl/hash/hash.h>
#include <absl/synchronization/mutex.h>

namespace magnolia::common {

/// A hash map split into shards, each with its own lock.
template <typename Key, typename Value, size_t ShardCount = 16>
class sharded_map {
public:
  using map = absl::flat_hash_map<Key, Value>;

  /// Calls \p Fn(map &) on the shard of \p K with its lock held.
  template <typename Lookup, typename Function>
  auto withShardOf(const Lookup &K, Function &&Fn) {
    shard &Shard = Shards[absl::HashOf(K) % ShardCount];
    const absl::MutexLock Lock(&Shard.Mutex);
    return std::forward<Function>(Fn)(Shard.Map);
  }

  /// Calls \p Fn(map &) on every shard in turn, one lock at a time.
  template <typename Function> void forEachShard(Function &&Fn) {
    for (shard &Shard : Shards) {
      const absl::MutexLock Lock(&Shard.Mutex);
      Fn(Shard.Map);
    }
  }

private:
  struct shard {
    absl::Mutex Mutex;
    map Map ABSL_GUARDED_BY(Mutex);
  };

  std::array<shard, ShardCount> Shards;
};

} // namespace magnolia::common
