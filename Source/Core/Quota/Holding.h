#pragma once

#include <optional>
#include <string>

#include <absl/container/flat_hash_map.h>

#include "Quota/LendPolicy.h"
#include "Quota/Message.h"
#include "Quota/TokenBucket.h"

namespace magnolia::quota {

/// Rights of one workspace that this instance holds by its shares, and the
/// loans that it granted from them. Not thread-safe.
class holding {
public:
  /// Starts without tokens at \p Since, since a share that changes its owner
  /// starts empty. \p Epoch differs from that of every other holding of this
  /// process.
  holding(nano_rate Rate, nano_tokens Capacity, uint64_t Epoch,
          common::boot_time Since);

  /// Sets the rights, which include what is lent out; never adds tokens.
  void resize(nano_rate Rate, nano_tokens Capacity, common::boot_time Now);

  /// Voids all tokens and earlier permits after shares were lost. Loans keep
  /// running and are deducted from the next rights.
  void forfeit(uint64_t NewEpoch, common::boot_time Now);

  /// Updates the bucket to \p Now and drops loans that have ended.
  void advance(common::boot_time Now);

  const token_bucket &bucket() const { return Bucket; }

  /// Changes whenever earlier permits become void.
  uint64_t epoch() const { return Epoch; }

  void reserve(nano_tokens Amount, common::boot_time Now);
  void settle(nano_tokens Amount, common::boot_time Now);
  void cancel(nano_tokens Amount, common::boot_time Now);

  /// The query for the lending policy.
  lend_query query(const loan_request &Request, nano_rate OwnDemand) const;

  /// The loan already granted to \p Peer for \p Request, if it is still
  /// running.
  std::optional<loan_grant> findGrant(std::string_view Peer,
                                      const loan_request &Request) const;

  /// Moves \p Offer out of the bucket until \p Term after \p Now. The offer
  /// must be clamped to the query.
  loan_grant lend(std::string_view Peer, const loan_request &Request,
                  const lend_offer &Offer, transfer_id Loan, duration Term,
                  common::boot_time Now);

  /// Ends a loan that the borrower returned. A duplicate, or a return after the
  /// loan's end, changes nothing.
  void acceptReturn(std::string_view Peer, const loan_return &Return,
                    common::boot_time Now);

  /// Whether this instance holds shares, lent out or not.
  bool hasRights() const { return FullCapacity > 0; }

  bool hasLoans() const { return !Loans.empty(); }

  /// The end of the last running loan; \p Now if there is none.
  common::boot_time lastLoanEnd(common::boot_time Now) const;

private:
  struct lent_loan {
    std::string Peer;
    loan_grant Grant;
    common::boot_time Ends;
  };

  void updateLimits(common::boot_time Now);

  nano_rate FullRate;
  nano_tokens FullCapacity;
  token_bucket Bucket;
  uint64_t Epoch;
  common::boot_time NextEnd = common::boot_time::max();
  /// Keyed by the loan's number.
  absl::flat_hash_map<uint64_t, lent_loan> Loans;
};

} // namespace magnolia::quota
