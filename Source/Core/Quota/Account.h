#pragma once

#include <memory>
#include <string>

#include "Quota/Borrowings.h"
#include "Quota/DemandMeter.h"
#include "Quota/Holding.h"
#include "Quota/LoanCollector.h"

namespace magnolia::quota {

/// Arguments common to the calls of an account.
struct account_context {
  const rate_limiter_options &Options;
  instant Now;
  /// End of the lease under which this instance holds shares.
  expiry Lease;
  /// The owners of the workspace's shares.
  absl::Span<const std::string> Owners;
  /// The next number for this process's loan requests, loans and tickets.
  uint64_t &NextNumber;
  /// This instance is shutting down: it neither admits nor lends.
  bool Stopping = false;
};

/// One workspace's state on one instance: its own rights, loans lent and
/// borrowed, and waiting requests. Not thread-safe.
class account {
public:
  account(std::string Workspace, nano_rate Rate, nano_tokens Capacity,
          uint64_t Epoch, common::boot_time Since);

  admission admit(const account_context &Context, common::boot_time Deadline,
                  effects &Out);
  bool spend(const permit &Permit, const account_context &Context,
             effects &Out);
  void cancel(const permit &Permit, const account_context &Context,
              effects &Out);
  bool withdraw(uint64_t Ticket, const account_context &Context, effects &Out);
  void handle(std::string_view Peer, const message &Message,
              const account_context &Context, effects &Out);
  void advance(const account_context &Context, effects &Out);

  /// Updates the buckets to \p Now.
  void refresh(instant Now);
  /// Applies rights that changed through shares or configuration.
  void resize(nano_rate Rate, nano_tokens Capacity, common::boot_time Now);
  /// Voids the rights after shares were lost, see holding::forfeit().
  void forfeit(uint64_t NewEpoch, common::boot_time Now);
  /// Time from which rights are counted; earlier ones are void.
  common::boot_time rightsSince() const { return Since; }
  /// Returns loans and refuses waiting requests, for a graceful shutdown.
  void release(const account_context &Context, effects &Out);

  const holding &own() const { return Own; }
  const borrowings &borrowed() const { return Borrowed; }

  /// Whether nothing but the bucket of the own rights changes with time.
  bool quiet() const;

private:
  void onRequest(std::string_view Peer, const loan_request &Request,
                 const account_context &Context, effects &Out);
  void onGrant(std::string_view Peer, const loan_grant &Grant,
               const account_context &Context, effects &Out);
  nano_tokens usable(const account_context &Context) const;
  permit reserveOne(const account_context &Context);
  void admitWaiting(const account_context &Context, effects &Out);
  /// Refuses overdue requests, admits others while there are tokens, and
  /// requests loans for the rest.
  void processWaiting(const account_context &Context, effects &Out);
  void requestLoans(const account_context &Context, effects &Out);
  void refuseWaiting(refusal Refusal, effects &Out);
  refusal makeRefusal(const account_context &Context) const;
  duration timeUntilToken() const;
  void returnSurplus(const account_context &Context, effects &Out);

  std::string Workspace;
  common::boot_time Since;
  holding Own;
  borrowings Borrowed;
  loan_collector Collector;
  demand_meter Demand;
};

} // namespace magnolia::quota
