#pragma once

#include <optional>
#include <string>

#include <absl/container/flat_hash_map.h>

#include "Quota/LendPolicy.h"
#include "Quota/Message.h"
#include "Quota/TokenBucket.h"

namespace magnolia::quota {

/// Rights of one workspace that this instance holds by its shares, and the
/// loans that it cut from them. Not thread-safe.
class holding {
public:
  /// A share that changes hands starts empty, at \p Since. \p Epoch is unlike
  /// that of any other holding of this process.
  holding(nano_rate Rate, nano_tokens Capacity, uint64_t Epoch,
          common::boot_time Since);

  /// Changes the rights, loans included; tokens never grow by this.
  void resize(nano_rate Rate, nano_tokens Capacity, common::boot_time Now);

  /// Shares are lost: all tokens and permits made before are void. Loans run on
  /// and stay missing from whatever rights come next.
  void forfeit(uint64_t NewEpoch, common::boot_time Now);

  /// Brings the bucket and the ends of loans up to \p Now.
  void advance(common::boot_time Now);

  const token_bucket &bucket() const { return Bucket; }

  /// Changes whenever permits made before become void.
  uint64_t epoch() const { return Epoch; }

  void reserve(nano_tokens Amount, common::boot_time Now);
  void settle(nano_tokens Amount, common::boot_time Now);
  void cancel(nano_tokens Amount, common::boot_time Now);

  /// What the lending policy is asked with.
  lend_query query(const loan_request &Request, nano_rate OwnDemand) const;

  /// The loan that \p Peer already got for \p Request, if it still runs.
  std::optional<loan_grant> findGrant(std::string_view Peer,
                                      const loan_request &Request) const;

  /// Moves \p Offer out of the bucket until \p Term after \p Now. The offer was
  /// clamped to the query.
  loan_grant lend(std::string_view Peer, const loan_request &Request,
                  const lend_offer &Offer, transfer_id Loan, duration Term,
                  common::boot_time Now);

  /// A borrower ends its loan. A duplicate, or a return after the loan's end,
  /// changes nothing.
  void acceptReturn(std::string_view Peer, const loan_return &Return,
                    common::boot_time Now);

  /// Whether there are shares, lent out or not.
  bool hasRights() const { return FullCapacity > 0; }

  bool hasLoans() const { return !Loans.empty(); }

  /// When the last running loan ends; \p Now if there is none.
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
  /// By the number of the loan.
  absl::flat_hash_map<uint64_t, lent_loan> Loans;
};

} // namespace magnolia::quota
