#pragma once

#include <string>
#include <vector>

#include <absl/container/inlined_vector.h>

#include "Quota/Message.h"
#include "Quota/TokenBucket.h"

namespace magnolia::quota {

/// A message for one instance.
struct outgoing {
  std::string Peer;
  message Message;
};

/// A part of a token, and the loan that it comes from; number zero stands for
/// the instance's own shares.
struct permit_piece {
  transfer_id Loan;
  nano_tokens Amount = 0;
};

using permit_pieces = absl::InlinedVector<permit_piece, 1>;

/// Rights of one workspace that this instance borrowed. Each loan has a bucket
/// of its own and ends by itself. Not thread-safe.
class borrowings {
public:
  /// Takes a loan in; \p Ends was counted from when it was asked for.
  void accept(std::string_view Lender, const loan_grant &Grant, expiry Ends,
              instant Now);

  /// Brings buckets up to \p Now and drops loans that have ended.
  void advance(instant Now);

  /// Tokens available over all loans, as of the last advance().
  nano_tokens available() const;

  /// Rate of all loans.
  nano_rate rate() const;

  /// Reserves up to \p Amount, from the loans that end first; notes where it
  /// came from and answers how much it was.
  nano_tokens reserve(nano_tokens Amount, permit_pieces &Pieces, instant Now);

  /// Whether the piece's loan still runs.
  bool runs(const permit_piece &Piece) const;

  void settle(const permit_piece &Piece, instant Now);
  void cancel(const permit_piece &Piece, instant Now);

  /// Ends the loans that lend tokens without a rate and hold no reserved ones.
  void returnIdleTokens(const std::string &Workspace, instant Now,
                        std::vector<outgoing> &Out);

  /// Ends all loans that hold no reserved tokens and that are over within
  /// \p Lead, so that their tokens get home in time.
  void returnEnding(const std::string &Workspace, duration Lead, instant Now,
                    std::vector<outgoing> &Out);

  /// Ends the loans that nothing was taken from since \p Idle ago.
  void returnUnused(const std::string &Workspace, duration Idle, instant Now,
                    std::vector<outgoing> &Out);

  /// Ends all loans that hold no reserved tokens.
  void returnAll(const std::string &Workspace, instant Now,
                 std::vector<outgoing> &Out);

  bool empty() const { return Loans.empty(); }

private:
  struct loan {
    transfer_id Id;
    std::string Lender;
    token_bucket Bucket;
    expiry Ends;
    common::boot_time LastUse;
  };

  const loan *find(transfer_id Id) const;
  loan *find(transfer_id Id);

  template <typename Predicate>
  void returnWhere(const std::string &Workspace, instant Now,
                   std::vector<outgoing> &Out, Predicate Matches);

  /// Ordered by the time of their end.
  std::vector<loan> Loans;
};

} // namespace magnolia::quota
