#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string_view>

#include <absl/status/status.h>

/// The closed list of reasons for which a request is refused or fails, and the
/// answer that a caller gets for each.
namespace magnolia::common {

/// Whether a target ran the request that an error speaks of.
enum class execution : uint8_t { NotRun, Ran, Unknown };

/// Every kind of error that a caller can be told.
enum class error_kind : uint8_t {
  BadRequest,
  HeadersTooLarge,
  BodyTooLarge,
  /// A body without a declared length passed its limit when a part of it had
  /// been sent on.
  BodyCutOff,
  KeyMissing,
  KeyUnknown,
  WorkspaceMismatch,
  RouteNotFound,
  RateExceeded,
  RateUnavailable,
  QueueFull,
  QueueDeadlineExceeded,
  NoTargetAvailable,
  ConfigurationMissing,
  ConfigurationStale,
  InstanceLeaving,
  TargetUnreachable,
  TargetRefused,
  TargetBroken,
  AnswerTruncated,
  AnswerMismatched,
  AnswerTooLarge,
  DeadlineExceeded,
  CallerGone,
  IdempotencyUnavailable,
  IdempotencyInProgress,
  IdempotencyCompleted,
  IdempotencyUnknown,
  IdempotencyMismatch,
  Internal,
  Count
};

/// One row of the table from kind to answer.
struct error_response {
  /// Stable name, as callers see it in the refusal and operators in metrics.
  std::string_view Name;
  int HttpStatus;
  execution Execution;
  /// When a caller may try again; absent where trying again cannot help.
  std::optional<std::chrono::milliseconds> RetryAfter;
};

/// The answer for \p Kind.
const error_response &responseFor(error_kind Kind);

/// "no", "yes" or "unknown".
std::string_view nameOf(execution Execution);

/// A status that carries \p Kind; \p Detail is shown to the caller.
absl::Status makeError(error_kind Kind, std::string_view Detail);

/// The kind that \p Status carries; `Internal` for one made elsewhere.
error_kind kindOf(const absl::Status &Status);

} // namespace magnolia::common
