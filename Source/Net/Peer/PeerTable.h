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

/// A message in the queue of a peer.
struct queued_message {
  std::string Type;
  std::string Body;
  common::boot_time QueuedAt;
};

/// The queue and state of each peer, shared by senders and the transport's
/// thread. A message is pending from push() until it is settled or dropped.
/// Thread-safe.
class peer_table {
public:
  explicit peer_table(const peer_options &Options) : Options(Options) {}

  /// Queues a message and drops the oldest ones if the queue exceeds its
  /// limits.
  void push(std::string_view Peer, queued_message Message);

  /// Removes and returns the oldest message that has not exceeded its lifetime.
  std::optional<queued_message> pop(const std::string &Peer,
                                    common::boot_time Now);

  /// Peers for which messages were queued or that were removed since the last
  /// call.
  absl::flat_hash_set<std::string> takeChanged();

  /// Ends a message that pop() returned: counts it as sent if \p Delivered,
  /// otherwise as dropped.
  void settle(const std::string &Peer, bool Delivered);

  void recordReceived(const std::string &Peer, common::boot_time Now);
  void setConnected(const std::string &Peer, bool Connected);
  void countReconnect(const std::string &Peer);

  /// Removes a peer and drops its queued messages.
  void remove(const std::string &Peer);

  /// Whether the peer is in the table.
  bool contains(const std::string &Peer);

  /// Drops messages that exceeded their lifetime, and removes peers to which
  /// nothing was sent for the idle timeout.
  void expire(common::boot_time Now);

  /// Waits until no message is pending; false after \p Limit.
  bool awaitSettled(std::chrono::milliseconds Limit);

  std::vector<peer_state> states();
  std::optional<common::boot_time> lastReceived(std::string_view Peer);

  /// Totals over all peers, including removed ones.
  peer_counters totals();

  /// Counts a message that was dropped without being queued.
  void countDropped();

private:
  struct entry {
    std::deque<queued_message> Queue;
    size_t QueuedBytes = 0;
    common::boot_time LastPush;
    peer_state State;
  };

  size_t trim(entry &Entry, common::boot_time Now);
  /// Adds to the totals; these messages are no longer pending.
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
