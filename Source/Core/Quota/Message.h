#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include <absl/status/statusor.h>
#include <absl/types/span.h>

#include "Quota/Amount.h"

/// Messages between instances that move rate and burst for a term. The
/// transport may lose, delay, reorder and duplicate them.
namespace magnolia::quota {

/// Identifies a loan or a loan request by the process that created it and a
/// number there. A restarted process has another process number, so that
/// nothing of its predecessor is mistaken for its own.
struct transfer_id {
  uint64_t Process = 0;
  uint64_t Number = 0;

  friend bool operator==(const transfer_id &, const transfer_id &) = default;
};

/// Asks an owner of the workspace for a loan.
struct loan_request {
  transfer_id Request;
  std::string Workspace;
  /// Tokens that waiting requests need.
  nano_tokens Wanted = 0;
  /// The borrower's demand beyond the rate that it holds.
  nano_rate WantedRate = 0;
};

/// Moves rate, capacity and tokens to the borrower. The term counts from the
/// grant for the lender and from the request for the borrower.
struct loan_grant {
  transfer_id Request;
  transfer_id Loan;
  std::string Workspace;
  nano_rate Rate = 0;
  nano_tokens Capacity = 0;
  nano_tokens Tokens = 0;
  duration Term{};
};

/// The lender has nothing to lend before \p RetryAfter.
struct loan_refusal {
  transfer_id Request;
  std::string Workspace;
  duration RetryAfter{};
  /// The lender holds no share of the workspace, or its lease has ended.
  bool NotOwner = false;
};

/// Ends a loan before its term and returns the tokens that were not spent.
struct loan_return {
  transfer_id Loan;
  std::string Workspace;
  nano_tokens Tokens = 0;
};

using message =
    std::variant<loan_request, loan_grant, loan_refusal, loan_return>;

/// The workspace that the message is about.
const std::string &workspaceOf(const message &Message);

/// Encodes the message as CBOR.
std::vector<uint8_t> encode(const message &Message);

/// The inverse of encode(); InvalidArgument for anything else, including
/// negative amounts and terms.
absl::StatusOr<message> decode(absl::Span<const uint8_t> Bytes);

} // namespace magnolia::quota
