#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string_view>

#include <absl/status/status.h>

/// The closed list of reasons for which a request is rejected or fails, and the
/// response that a caller gets for each.
namespace magnolia::common {

/// Whether a target executed the request that an error refers to.
enum class execution : uint8_t { NotRun, Ran, Unknown };

/// Every kind of error that can be reported to a caller.
enum class error_kind : uint8_t {
  BadRequest,
  HeadersTooLarge,
  BodyTooLarge,
  /// A body without a declared length exceeded its limit after a part of it had
  /// been forwarded.
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
  /// All targets of the service are in evacuated failure domains.
  ServiceEvacuated,
  /// No target of the service is in a region that the route and the workspace
  /// allow.
  NoTargetInRegion,
  /// The requests at each target of the service leave no room for the body.
  TargetBytesUsedUp,
  /// Targets ended one after the other while they ran this request.
  RequestQuarantined,
  ConfigurationMissing,
  ConfigurationStale,
  /// What the operator allows the request is not known, since its route, or the
  /// workspace or its key, cannot be read.
  ConfigurationUnreadable,
  InstanceLeaving,
  /// This instance ends before the target has responded.
  InstanceEnded,
  /// Messages hold nearly all memory that they may.
  InstanceOverloaded,
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

/// The response for one kind of error.
struct error_response {
  /// Stable name, used in the response to the caller and in metrics.
  std::string_view Name;
  int HttpStatus;
  execution Execution;
  /// Delay before a caller may retry; absent where a retry cannot help.
  std::optional<std::chrono::milliseconds> RetryAfter;
};

/// The response for \p Kind.
const error_response &responseFor(error_kind Kind);

/// "no", "yes" or "unknown", as error responses show it in the field "ran".
std::string_view nameOf(execution Execution);

/// Creates a status that carries \p Kind; \p Detail is shown to the caller.
absl::Status makeError(error_kind Kind, std::string_view Detail);

/// The kind that \p Status carries; `Internal` if makeError() did not create
/// it.
error_kind kindOf(const absl::Status &Status);

} // namespace magnolia::common
