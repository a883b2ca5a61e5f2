#pragma once

#include <cstdint>
#include <string>
#include <variant>

#include "Quota/Borrowings.h"

namespace magnolia::quota {

/// The right to send one request of a workspace, reserved but not yet spent.
/// Give it to rate_limiter::spend() right before the request is written, or to
/// rate_limiter::cancel() when it will not be written.
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
  /// Nobody who holds the workspace's rights could be reached, or this
  /// instance is stopping.
  RightsUnavailable,
  /// The configuration has no such workspace.
  WorkspaceUnknown,
};

/// The request must be refused as not run.
struct refusal {
  refusal_reason Reason = refusal_reason::RateExceeded;
  /// Earliest time at which another try can help.
  duration RetryAfter{};
};

/// The answer will come through rate_limiter_hooks::Resolved under this number.
struct ticket {
  uint64_t Number = 0;
};

using admission = std::variant<permit, refusal, ticket>;

/// The answer to a ticket: never another ticket.
struct resolution {
  uint64_t Ticket = 0;
  admission Result;
};

/// What has to be sent and told once no lock is held.
struct effects {
  std::vector<outgoing> Messages;
  std::vector<resolution> Resolved;
};

} // namespace magnolia::quota
