#include "Net/Peer/PeerTable.h"

#include <absl/time/time.h>

namespace magnolia::net {

void peer_table::push(std::string_view Peer, queued_message Message) {
  {
    const absl::MutexLock Lock(&Mutex);
    ++Pending;
  }
  const std::string Address(Peer);
  const common::boot_time Now = Message.QueuedAt;
  const size_t Dropped = Entries.withShardOf(Address, [&](auto &Map) {
    entry &Entry = Map[Address];
    Entry.State.Address = Address;
    Entry.LastPush = Now;
    Entry.QueuedBytes += Message.Body.size();
    Entry.Queue.push_back(std::move(Message));
    return trim(Entry, Now);
  });
  count(Dropped, 0);
  markChanged(Address);
}

size_t peer_table::trim(entry &Entry, common::boot_time Now) {
  size_t Dropped = 0;
  const auto MustDropOldest = [&] {
    return Entry.Queue.size() > Options.MaxQueuedMessages ||
           Entry.QueuedBytes > Options.MaxQueuedBytes ||
           Now - Entry.Queue.front().QueuedAt > Options.MessageLifetime;
  };
  while (!Entry.Queue.empty() && MustDropOldest()) {
    Entry.QueuedBytes -= Entry.Queue.front().Body.size();
    Entry.Queue.pop_front();
    ++Dropped;
  }
  Entry.State.Dropped += Dropped;
  return Dropped;
}

std::optional<queued_message> peer_table::pop(const std::string &Peer,
                                              common::boot_time Now) {
  size_t Dropped = 0;
  auto Message = Entries.withShardOf(
      Peer, [&](auto &Map) -> std::optional<queued_message> {
        const auto Found = Map.find(Peer);
        if (Found == Map.end())
          return std::nullopt;
        entry &Entry = Found->second;
        Dropped = trim(Entry, Now);
        if (Entry.Queue.empty())
          return std::nullopt;
        queued_message Oldest = std::move(Entry.Queue.front());
        Entry.Queue.pop_front();
        Entry.QueuedBytes -= Oldest.Body.size();
        return Oldest;
      });
  count(Dropped, 0);
  return Message;
}

absl::flat_hash_set<std::string> peer_table::takeChanged() {
  const absl::MutexLock Lock(&Mutex);
  return std::exchange(Changed, {});
}

void peer_table::settle(const std::string &Peer, bool Delivered) {
  Entries.withShardOf(Peer, [&](auto &Map) {
    const auto Found = Map.find(Peer);
    if (Found == Map.end())
      return;
    peer_state &State = Found->second.State;
    ++(Delivered ? State.Sent : State.Dropped);
  });
  count(Delivered ? 0 : 1, Delivered ? 1 : 0);
}

void peer_table::recordReceived(const std::string &Peer,
                                common::boot_time Now) {
  Entries.withShardOf(Peer, [&](auto &Map) {
    const auto Found = Map.find(Peer);
    if (Found != Map.end())
      Found->second.State.LastReceived = Now;
  });
}

void peer_table::setConnected(const std::string &Peer, bool Connected) {
  Entries.withShardOf(Peer, [&](auto &Map) {
    const auto Found = Map.find(Peer);
    if (Found != Map.end())
      Found->second.State.Connected = Connected;
  });
}

void peer_table::countReconnect(const std::string &Peer) {
  Entries.withShardOf(Peer, [&](auto &Map) {
    const auto Found = Map.find(Peer);
    if (Found != Map.end())
      ++Found->second.State.Reconnects;
  });
  const absl::MutexLock Lock(&Mutex);
  ++Totals.Reconnects;
}

void peer_table::remove(const std::string &Peer) {
  const size_t Dropped = Entries.withShardOf(Peer, [&](auto &Map) -> size_t {
    const auto Found = Map.find(Peer);
    if (Found == Map.end())
      return 0;
    const size_t Queued = Found->second.Queue.size();
    Map.erase(Found);
    return Queued;
  });
  count(Dropped, 0);
  markChanged(Peer);
}

bool peer_table::contains(const std::string &Peer) {
  return Entries.withShardOf(
      Peer, [&](auto &Map) { return Map.find(Peer) != Map.end(); });
}

void peer_table::expire(common::boot_time Now) {
  size_t Dropped = 0;
  std::vector<std::string> Idle;
  Entries.forEachShard([&](auto &Map) {
    for (auto &[Peer, Entry] : Map) {
      Dropped += trim(Entry, Now);
      if (Now - Entry.LastPush > Options.IdleTimeout)
        Idle.push_back(Peer);
    }
  });
  count(Dropped, 0);
  for (const std::string &Peer : Idle)
    remove(Peer);
}

bool peer_table::awaitSettled(std::chrono::milliseconds Limit) {
  const absl::MutexLock Lock(&Mutex);
  return Mutex.AwaitWithTimeout(
      absl::Condition(
          +[](size_t *Count) { return *Count == 0; }, &Pending),
      absl::FromChrono(Limit));
}

std::vector<peer_state> peer_table::states() {
  std::vector<peer_state> States;
  Entries.forEachShard([&](auto &Map) {
    for (const auto &[Peer, Entry] : Map) {
      States.push_back(Entry.State);
      States.back().Queued = Entry.Queue.size();
    }
  });
  return States;
}

std::optional<common::boot_time>
peer_table::lastReceived(std::string_view Peer) {
  const std::string Address(Peer);
  return Entries.withShardOf(
      Address, [&](auto &Map) -> std::optional<common::boot_time> {
        const auto Found = Map.find(Address);
        if (Found == Map.end())
          return std::nullopt;
        return Found->second.State.LastReceived;
      });
}

peer_counters peer_table::totals() {
  const absl::MutexLock Lock(&Mutex);
  return Totals;
}

void peer_table::countDropped() {
  const absl::MutexLock Lock(&Mutex);
  ++Totals.Dropped;
}

void peer_table::count(size_t Dropped, size_t Sent) {
  if (Dropped + Sent == 0)
    return;
  const absl::MutexLock Lock(&Mutex);
  Totals.Dropped += Dropped;
  Totals.Sent += Sent;
  Pending -= Dropped + Sent;
}

void peer_table::markChanged(std::string Peer) {
  const absl::MutexLock Lock(&Mutex);
  Changed.insert(std::move(Peer));
}

} // namespace magnolia::net
