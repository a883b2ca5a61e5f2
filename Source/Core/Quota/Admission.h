#pragma once

#include <cstdint>
#include <string>
#include <variant>

#include "Quota/Borrowings.h"

namespace magnolia::quota {

/// The right to send one request of a workspace, reserved but not yet spent.
/// Pass it to rate_limiter::spend() right before the request is written, or to
/// rate_limiter::cancel() if it will not be written.
struct permit {
  std::string Workspace;
  /// Epoch of the holding that pieces without a loan come from.
  uint64_t Epoch = 0;
  permit_pieces Pieces;
};

/// Why no permit was given.
enum class refusal_reason : uint8_t {
  /// The workspace is over its rate.
  RateExceeded,
  /// No owner of the workspace's shares could be reached, or this instance is
  /// shutting down.
  RightsUnavailable,
  /// The configuration has no such workspace.
  WorkspaceUnknown,
};

/// The request must be refused with a response that reports it as not run.
struct refusal {
  refusal_reason Reason = refusal_reason::RateExceeded;
  /// Time after which a retry can succeed at the earliest.
  duration RetryAfter{};
};

/// The request waits; rate_limiter_hooks::Resolved delivers the result under
/// this number.
struct ticket {
  uint64_t Number = 0;
};

using admission = std::variant<permit, refusal, ticket>;

/// The result for a ticket: a permit or a refusal, never another ticket.
struct resolution {
  uint64_t Ticket = 0;
  admission Result;
};

/// Messages and results to deliver once no lock is held.
struct effects {
  std::vector<outgoing> Messages;
  std::vector<resolution> Resolved;
};

} // namespace magnolia::quota
