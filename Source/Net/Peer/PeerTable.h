#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <absl/base/thread_annotations.h>
#include <absl/container/flat_hash_set.h>
#include <absl/synchronization/mutex.h>

#include "Common/ShardedMap.h"
#include "Common/Time.h"
#include "Net/Peer/PeerTransport.h"

namespace magnolia::net {

/// A message that waits for its peer.
struct queued_message {
  std::string Type;
  std::string Body;
  common::boot_time QueuedAt;
};

/// The queue and state of each peer, shared by senders and the transport's
/// thread. A message is pending from push() until settle() or its drop.
class peer_table {
public:
  explicit peer_table(const peer_options &Options) : Options(Options) {}

  /// Queues a message and drops the oldest beyond the bounds.
  void push(std::string_view Peer, queued_message Message);

  /// Takes the oldest message that is not older than its lifetime.
  std::optional<queued_message> pop(const std::string &Peer,
                                    common::boot_time Now);

  /// Peers that got messages or were forgotten since the last call.
  absl::flat_hash_set<std::string> takeChanged();

  /// Ends a message that pop() returned.
  void settle(const std::string &Peer, bool Delivered);

  void recordReceived(const std::string &Peer, common::boot_time Now);
  void setConnected(const std::string &Peer, bool Connected);
  void countReconnect(const std::string &Peer);

  /// Drops a peer and what waits for it.
  void remove(const std::string &Peer);

  /// Whether the peer is still in the table.
  bool contains(const std::string &Peer);

  /// Drops messages past their lifetime, and forgets the peers that nothing
  /// was sent to for the idle timeout.
  void expire(common::boot_time Now);

  /// Waits until nothing is pending; false after \p Limit.
  bool awaitSettled(std::chrono::milliseconds Limit);

  std::vector<peer_state> states();
  std::optional<common::boot_time> lastReceived(std::string_view Peer);

  /// Totals over all peers, also those that were forgotten.
  peer_counters totals();

  /// Counts a message that was never queued.
  void countRefused();

private:
  struct entry {
    std::deque<queued_message> Queue;
    size_t QueuedBytes = 0;
    common::boot_time LastPush;
    peer_state State;
  };

  size_t trim(entry &Entry, common::boot_time Now);
  void count(size_t Dropped, size_t Sent);
  void markChanged(std::string Peer);

  peer_options Options;
  common::sharded_map<std::string, entry> Entries;
  absl::Mutex Mutex;
  absl::flat_hash_set<std::string> Changed ABSL_GUARDED_BY(Mutex);
  size_t Pending ABSL_GUARDED_BY(Mutex) = 0;
  peer_counters Totals ABSL_GUARDED_BY(Mutex);
};

} // namespace magnolia::net
