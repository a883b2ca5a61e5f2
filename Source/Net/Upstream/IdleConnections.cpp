#include "Net/Upstream/IdleConnections.h"

#include <absl/container/flat_hash_map.h>

namespace magnolia::net {

using common::boot_clock;

idle_connections::idle_connections(size_t MaxPerTarget,
                                   std::chrono::milliseconds IdleTimeout)
    : MaxPerTarget(MaxPerTarget), IdleTimeout(IdleTimeout) {}

std::shared_ptr<connection> idle_connections::take(const std::string &Address) {
  entries Dropped; // Closed after the lock is released.
  return ByAddress.withShardOf(
      Address, [&](auto &Map) -> std::shared_ptr<connection> {
        const auto Found = Map.find(Address);
        if (Found == Map.end())
          return nullptr;
        entries &Entries = Found->second;
        const auto Cutoff = boot_clock::now() - IdleTimeout;
        while (!Entries.empty()) {
          entry Last = std::move(Entries.back());
          Entries.pop_back();
          if (Last.IdleSince > Cutoff && Last.Connection->isIdle())
            return std::move(Last.Connection);
          Dropped.push_back(std::move(Last));
        }
        return nullptr;
      });
}

void idle_connections::put(const std::string &Address,
                           std::shared_ptr<connection> Connection) {
  ByAddress.withShardOf(Address, [&](auto &Map) {
    entries &Entries = Map[Address];
    if (Entries.size() < MaxPerTarget)
      Entries.push_back({std::move(Connection), boot_clock::now()});
  });
}

void idle_connections::closeExpired() {
  const auto Cutoff = boot_clock::now() - IdleTimeout;
  entries Dropped;
  ByAddress.forEachShard([&](auto &Map) {
    absl::erase_if(Map, [&](auto &Pair) {
      std::erase_if(Pair.second, [&](entry &Entry) {
        const bool Expired = Entry.IdleSince <= Cutoff;
        if (Expired)
          Dropped.push_back(std::move(Entry));
        return Expired;
      });
      return Pair.second.empty();
    });
  });
}

size_t idle_connections::count() {
  size_t Count = 0;
  ByAddress.forEachShard([&](auto &Map) {
    for (const auto &Pair : Map)
      Count += Pair.second.size();
  });
  return Count;
}

} // namespace magnolia::net
