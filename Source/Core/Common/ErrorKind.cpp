#include "Common/ErrorKind.h"

#include <array>

#include <absl/strings/cord.h>

#include "Common/StringView.h"

namespace magnolia::common {
namespace {

using std::chrono::milliseconds;

/// Type URL of the status payload that holds the error_kind as one byte.
constexpr std::string_view KindPayload = "magnolia/error_kind";
constexpr size_t KindCount = static_cast<size_t>(error_kind::Count);

constexpr milliseconds RetrySoon{50};
constexpr milliseconds RetryLater{1000};

constexpr auto NotRun = execution::NotRun;
constexpr auto Unknown = execution::Unknown;

// Indexed by error_kind.
constexpr std::array<error_response, KindCount> Responses = {{
    {"bad_request", 400, NotRun, std::nullopt},
    {"headers_too_large", 431, NotRun, std::nullopt},
    {"body_too_large", 413, NotRun, std::nullopt},
    {"body_cut_off", 413, Unknown, std::nullopt},
    {"key_missing", 401, NotRun, std::nullopt},
    {"key_unknown", 401, NotRun, std::nullopt},
    {"workspace_mismatch", 403, NotRun, std::nullopt},
    {"route_not_found", 404, NotRun, std::nullopt},
    {"rate_exceeded", 429, NotRun, RetrySoon},
    {"rate_unavailable", 503, NotRun, RetryLater},
    {"queue_full", 503, NotRun, RetrySoon},
    {"queue_deadline_exceeded", 503, NotRun, RetrySoon},
    {"no_target_available", 503, NotRun, RetryLater},
    {"service_evacuated", 503, NotRun, RetryLater},
    {"no_target_in_region", 503, NotRun, RetryLater},
    {"target_bytes_used_up", 503, NotRun, RetrySoon},
    {"request_quarantined", 503, NotRun, RetryLater},
    {"configuration_missing", 503, NotRun, RetryLater},
    {"configuration_stale", 503, NotRun, RetryLater},
    {"configuration_unreadable", 503, NotRun, RetryLater},
    {"instance_leaving", 503, NotRun, RetrySoon},
    {"instance_ended", 504, Unknown, RetrySoon},
    {"instance_overloaded", 503, NotRun, RetryLater},
    {"target_unreachable", 502, NotRun, RetrySoon},
    {"target_refused", 503, NotRun, RetrySoon},
    {"target_broken", 502, Unknown, RetryLater},
    {"answer_truncated", 502, Unknown, RetryLater},
    {"answer_mismatched", 502, Unknown, RetryLater},
    {"answer_too_large", 502, execution::Ran, std::nullopt},
    {"deadline_exceeded", 504, Unknown, RetryLater},
    {"caller_gone", 499, Unknown, std::nullopt},
    {"idempotency_unavailable", 503, NotRun, RetryLater},
    {"idempotency_in_progress", 409, Unknown, RetryLater},
    {"idempotency_completed", 409, execution::Ran, std::nullopt},
    {"idempotency_unknown", 409, Unknown, std::nullopt},
    {"idempotency_mismatch", 422, NotRun, std::nullopt},
    {"internal", 500, Unknown, RetryLater},
}};

} // namespace

const error_response &responseFor(error_kind Kind) {
  return Responses.at(static_cast<size_t>(Kind));
}

std::string_view nameOf(execution Execution) {
  switch (Execution) {
  case execution::NotRun:
    return "no";
  case execution::Ran:
    return "yes";
  case execution::Unknown:
    break;
  }
  return "unknown";
}

absl::Status makeError(error_kind Kind, std::string_view Detail) {
  absl::Status Status(absl::StatusCode::kUnavailable, toAbsl(Detail));
  const char Code = static_cast<char>(Kind);
  Status.SetPayload(toAbsl(KindPayload),
                    absl::Cord(absl::string_view(&Code, 1)));
  return Status;
}

error_kind kindOf(const absl::Status &Status) {
  const auto Payload = Status.GetPayload(toAbsl(KindPayload));
  if (!Payload || Payload->size() != 1)
    return error_kind::Internal;
  const auto Code = static_cast<uint8_t>((*Payload)[0]);
  if (Code >= KindCount)
    return error_kind::Internal;
  return static_cast<error_kind>(Code);
}

} // namespace magnolia::common
