#pragma once

#include <string>
#include <vector>

#include <absl/container/inlined_vector.h>

#include "Quota/Message.h"
#include "Quota/TokenBucket.h"

namespace magnolia::quota {

/// A message to send to one instance.
struct outgoing {
  std::string Peer;
  message Message;
};

/// A part of a token and the loan that it comes from; loan number zero stands
/// for the instance's own shares.
struct permit_piece {
  transfer_id Loan;
  nano_tokens Amount = 0;
};

using permit_pieces = absl::InlinedVector<permit_piece, 1>;

/// Rights of one workspace that this instance borrowed. Each loan has its own
/// bucket and its own end. Not thread-safe.
class borrowings {
public:
  /// Adds a loan; \p Ends is counted from when it was requested.
  void accept(std::string_view Lender, const loan_grant &Grant, expiry Ends,
              instant Now);

  /// Updates the buckets to \p Now and drops loans that have ended.
  void advance(instant Now);

  /// Tokens available over all loans, as of the last advance().
  nano_tokens available() const;

  /// Sum of the rates of all loans.
  nano_rate rate() const;

  /// Reserves up to \p Amount, from the loans that end first; adds the pieces
  /// to \p Pieces and returns the amount reserved.
  nano_tokens reserve(nano_tokens Amount, permit_pieces &Pieces, instant Now);

  /// Whether the loan of the piece is still running.
  bool runs(const permit_piece &Piece) const;

  void settle(const permit_piece &Piece, instant Now);
  void cancel(const permit_piece &Piece, instant Now);

  /// Returns the loans without a rate that have no reserved tokens.
  void returnWithoutRate(const std::string &Workspace, instant Now,
                         std::vector<outgoing> &Out);

  /// Returns the loans without reserved tokens that end within \p Lead, so that
  /// the tokens reach the lender in time.
  void returnEnding(const std::string &Workspace, duration Lead, instant Now,
                    std::vector<outgoing> &Out);

  /// Returns the loans without reserved tokens that were not used for \p Idle.
  void returnUnused(const std::string &Workspace, duration Idle, instant Now,
                    std::vector<outgoing> &Out);

  /// Returns all loans that have no reserved tokens.
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

  /// Ordered by Ends.Boot.
  std::vector<loan> Loans;
};

} // namespace magnolia::quota
