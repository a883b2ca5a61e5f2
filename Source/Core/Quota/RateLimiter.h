#pragma once

#include <array>
#include <atomic>
#include <functional>
#include <memory>
#include <string_view>

#include <absl/base/thread_annotations.h>
#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>
#include <absl/status/statusor.h>
#include <absl/synchronization/mutex.h>
#include <absl/types/span.h>

#include "Contract/Manifest.h"
#include "Quota/Account.h"
#include "Quota/ShareView.h"

namespace magnolia::quota {

/// Called without holding a lock of the rate limiter, on the thread that called
/// it.
struct rate_limiter_hooks {
  /// Sends to a peer; may lose, delay, reorder or duplicate the message.
  std::function<void(const std::string &Peer, const message &Message)> Send;
  /// Delivers the result for a ticket that admit() returned.
  std::function<void(const resolution &Resolution)> Resolved;
};

/// Admits requests by their workspace's rate and burst over the whole fleet.
/// Tokens come from this instance's shares and from loans of its peers. Uses no
/// clocks or sockets. Thread-safe; workspaces are spread over shards, each
/// with its own lock.
class rate_limiter {
public:
  /// InvalidArgument if a term is not positive, the drift is not in [0, 1), or
  /// a hook is missing.
  static absl::StatusOr<std::unique_ptr<rate_limiter>>
  create(rate_limiter_options Options, rate_limiter_hooks Hooks);

  /// Requests a permit to send one request before \p Deadline.
  admission admit(std::string_view Workspace, instant Now,
                  common::boot_time Deadline);

  /// Spends the permit; call right before the request is written. False if its
  /// rights have ended in the meantime; the request must then be refused with a
  /// response that reports it as not run.
  bool spend(const permit &Permit, instant Now);

  /// Returns a permit whose request will not be written.
  void cancel(const permit &Permit, instant Now);

  /// Forgets a ticket whose caller disconnected. False if it was resolved
  /// already: rate_limiter_hooks::Resolved was or will be called for it,
  /// possibly with a permit that must be cancelled.
  bool withdraw(std::string_view Workspace, uint64_t Ticket, instant Now);

  /// Applies a message from \p Peer.
  void handleMessage(std::string_view Peer, const message &Message,
                     instant Now);

  /// Ends waits and returns loans that are due. Call every few milliseconds.
  void advance(instant Now);

  /// Applies the rates of a configuration.
  void setConfiguration(absl::Span<const contract::workspace> Workspaces,
                        instant Now);

  /// Applies the content of the share rows, see share_keeper.
  void setShares(const share_view_ptr &View, instant Now);

  /// Sets the end of this instance's lease; its shares are used only before.
  void setLease(expiry Lease);

  /// For a graceful shutdown: stops admitting and lending and returns loans.
  /// Permits given before can still be spent.
  void release(instant Now);

  /// Time until the last loan granted from this instance's shares has ended.
  duration timeUntilLoansEnd(instant Now);

  /// Number of workspaces with an account, that is, whose rights differ from a
  /// bucket that filled without use.
  size_t activeAccounts();

private:
  /// A workspace of the configuration. Its account exists only while it differs
  /// from a bucket that filled without use since Since.
  struct entry {
    nano_rate Rate = 0;
    nano_tokens Burst = 0;
    common::boot_time Since;
    /// Removed from the configuration, kept until its loans have ended.
    bool Removed = false;
    std::unique_ptr<account> Account;
  };

  struct shard {
    absl::Mutex Mutex;
    absl::flat_hash_map<std::string, entry> Entries ABSL_GUARDED_BY(Mutex);
    /// Workspaces whose accounts change with time.
    absl::flat_hash_set<std::string> Busy ABSL_GUARDED_BY(Mutex);
    share_view_ptr Shares ABSL_GUARDED_BY(Mutex);
    uint64_t NextNumber ABSL_GUARDED_BY(Mutex) = 0;
    common::boot_time NextSweep ABSL_GUARDED_BY(Mutex);
  };

  /// The part of a workspace's rights that this instance holds.
  struct own_rights {
    nano_rate Rate = 0;
    nano_tokens Capacity = 0;
    common::boot_time Since;
  };

  static constexpr size_t ShardCount = 16;

  rate_limiter(rate_limiter_options Options, rate_limiter_hooks Hooks);

  shard &shardOf(std::string_view Workspace);
  expiry lease() const;
  static const partition_view *partitionIn(const shard &Shard,
                                           std::string_view Workspace)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(Shard.Mutex);
  account_context contextOf(shard &Shard, std::string_view Workspace,
                            instant Now) const
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(Shard.Mutex);
  own_rights ownRightsOf(const shard &Shard, std::string_view Workspace,
                         const entry &Entry) const
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(Shard.Mutex);
  account &accountOf(shard &Shard, const std::string &Workspace, entry &Entry)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(Shard.Mutex);
  template <typename Function>
  bool withAccount(std::string_view Workspace, instant Now, Function &&Fn);
  void configure(const contract::workspace &Workspace, instant Now);
  static void removeUnused(shard &Shard, instant Now)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(Shard.Mutex);
  void applyShares(shard &Shard, const share_view_ptr &View, instant Now);
  void advanceShard(shard &Shard, instant Now, effects &Out);
  void sweep(shard &Shard, instant Now)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(Shard.Mutex);
  void carryOut(const effects &Effects) const;

  const rate_limiter_options Options;
  const rate_limiter_hooks Hooks;
  std::atomic<common::boot_time> LeaseBoot{common::boot_time::min()};
  std::atomic<common::wall_time> LeaseWall{common::wall_time::min()};
  std::atomic<bool> Stopping{false};
  std::array<shard, ShardCount> Shards;
};

} // namespace magnolia::quota
