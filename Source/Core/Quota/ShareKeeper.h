#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>
#include <absl/status/status.h>
#include <absl/status/statusor.h>
#include <absl/types/span.h>

#include "Platform/Services.h"
#include "Quota/OwnerOrder.h"
#include "Quota/Rows.h"
#include "Quota/ShareView.h"

namespace magnolia::quota {

/// Settings of a share_keeper.
struct keeper_options {
  std::string Instance;
  std::string FailureDomain;
  /// Address that the instance binds for its peers.
  std::string Address;
  std::string BootId;
  /// Random name of this process.
  std::string Process;
  /// Whether the process bound Address exclusively. Every process keeps the
  /// address bound until it has spent its last permit, so an earlier process of
  /// the same machine is then known to be dead.
  bool BoundExclusively = false;
  duration LeaseTerm = std::chrono::hours(6);
  duration RenewPeriod = std::chrono::seconds(60);
  duration RefreshPeriod = std::chrono::seconds(2);
  /// Largest difference between the wall clocks of any two instances.
  duration ClockSkew = std::chrono::seconds(2);
  /// Largest relative difference between the speeds of two clocks.
  double ClockDrift = 0.001;
  /// As in rate_limiter_options.
  duration LoanTerm = std::chrono::seconds(1);
  /// How long this instance leaves a free slot unclaimed for each better
  /// candidate.
  duration ClaimDelay = std::chrono::seconds(2);
  /// Time between handing slots over to better candidates. A holder of several
  /// slots of a partition does not wait: with few owners, more of the rates are
  /// lost when one dies.
  duration HandoverPeriod = std::chrono::seconds(30);
  /// Written to the layout row if there is none.
  layout_row Layout{64, 4};
};

/// Called by a share_keeper.
struct keeper_hooks {
  std::function<void(const share_view_ptr &View, instant Now)> SharesChanged;
  std::function<void(expiry Lease)> LeaseChanged;
  /// Time until the last loan granted from this instance's shares has ended.
  std::function<duration(instant Now)> TimeUntilLoansEnd;
};

/// Maintains an instance's shares in the table: opens and renews its lease,
/// claims free slots, hands slots over, and releases all at a graceful
/// shutdown. Calls block on the table; use from one thread. Every error leaves
/// the rights as they were or smaller, and the next step recovers from it.
class share_keeper {
public:
  static absl::StatusOr<std::unique_ptr<share_keeper>>
  create(keeper_options Options, platform::table_service Table,
         keeper_hooks Hooks);

  /// Performs the steps that are due. \p Live lists the instances that are
  /// alive and not draining, including this one. Call about once a second with
  /// \p Now read immediately before.
  absl::Status step(instant Now, absl::Span<const owner_candidate> Live);

  /// For a graceful shutdown, after rate_limiter::release(): gives up the
  /// shares, which become free once this instance's loans have ended. Call
  /// again on an error.
  absl::Status release(instant Now);

  /// The lease's name, empty if there is none.
  const std::string &lease() const { return LeaseId; }

private:
  struct stored_lease {
    lease_row Row;
    uint64_t Version = 0;
  };
  using lease_map = absl::flat_hash_map<std::string, stored_lease>;

  struct stored_share {
    share_row Row;
    uint64_t Version = 0;
  };

  share_keeper(keeper_options Options, platform::table_service Table,
               keeper_hooks Hooks);

  absl::Status loadLayout();
  absl::Status open(instant Now);
  std::optional<std::pair<std::string, stored_lease>>
  findPredecessor(const lease_map &Leases) const;
  absl::Status openNewLease(instant Now);
  absl::Status resumeLease(const std::string &Lease, const stored_lease &Before,
                           instant Now);
  absl::Status renewLease(instant Now);
  absl::Status readBack(common::wall_time Written, instant Sent);
  void opened(uint64_t Version, instant Sent);
  void onLeaseLost(instant Now);

  absl::Status refresh(instant Now, absl::Span<const owner_candidate> Live);
  absl::StatusOr<lease_map> scanLeases();
  absl::Status scanShares();
  bool isFree(const stored_share &Share, const lease_map &Leases,
              instant Now) const;
  void publish(const lease_map &Leases, instant Now);
  std::vector<slot> slotsToClaim(const lease_map &Leases, instant Now,
                                 absl::Span<const owner_candidate> Live);
  absl::Status claim(absl::Span<const slot> Slots, const lease_map &Leases);
  /// Whether handOver() may give up any slot, or only one of several that this
  /// instance holds in the same partition.
  enum class handover { AnySlot, OneOfSeveral };

  absl::Status handOver(const lease_map &Leases, instant Now,
                        absl::Span<const owner_candidate> Live, handover Which);
  absl::Status finishHandovers(instant Now);
  bool holds(const stored_share &Share) const {
    return Share.Row.Lease == LeaseId;
  }

  lease_row ownRow(common::wall_time Expires) const;
  expiry leaseFrom(instant Sent) const;

  const keeper_options Options;
  const platform::table_service Table;
  const keeper_hooks Hooks;
  layout_row Layout;
  std::string LeaseId;
  uint64_t LeaseVersion = 0;
  /// The last renewal got no reply: the row must be read before the next one.
  bool LeaseUncertain = false;
  bool Released = false;
  common::boot_time NextRenewal = common::boot_time::min();
  common::boot_time NextRefresh = common::boot_time::min();
  common::boot_time NextHandover = common::boot_time::min();
  /// Shares are not used before this time, since loans of a predecessor may
  /// still run.
  common::boot_time UsableFrom;
  std::map<slot, stored_share> Shares;
  std::map<slot, common::boot_time> FreeSince;
  /// Slots being handed over, and when their loans have ended.
  std::map<slot, common::boot_time> Handovers;
  std::vector<partition_view> Published;
};

/// Closes the leases of an instance. Call only after operators have attested
/// that no process of the instance is running. Its shares become free once its
/// loans have ended and the clock skew has passed. Call again on an error.
absl::Status closeLeases(const platform::table_service &Table,
                         std::string_view Instance, common::wall_time Now);

} // namespace magnolia::quota
