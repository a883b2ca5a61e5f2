#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <absl/status/statusor.h>
#include <absl/types/span.h>

#include "Common/Time.h"
#include "Net/Base/Headers.h"

/// Requests to targets and their responses over HTTP/1.1.
namespace magnolia::net {

/// Headers of the contract between instances and targets. An instance sends the
/// request id, which the target may return in its response, and the remaining
/// time in milliseconds. A target sends Magnolia-Not-Run "1" together with the
/// request id and status 503 if it refused the request without executing it,
/// and Magnolia-Draining "1" while it drains.
inline constexpr std::string_view RequestIdHeader = "Magnolia-Request-Id";
inline constexpr std::string_view DeadlineHeader = "Magnolia-Deadline-Ms";
inline constexpr std::string_view NotRunHeader = "Magnolia-Not-Run";
inline constexpr std::string_view DrainingHeader = "Magnolia-Draining";

/// Fills the buffer with the next bytes of a request body and returns their
/// number, zero at the end. An error ends the attempt.
using body_reader = std::function<absl::StatusOr<size_t>(absl::Span<char>)>;

/// Whether a connection that served earlier requests may be reused. A target
/// can close such a connection while a request is being written, and then it is
/// unknown whether the request was executed. Requests that are not repeatable
/// therefore use new connections.
enum class connection_choice : uint8_t { FreshOnly, ReuseAllowed };

/// One request to a target.
struct upstream_request {
  std::string Method;
  /// Path with query, percent-encoded as the caller sent it.
  std::string Path;
  /// End-to-end headers. Hop-by-hop headers, lengths and the headers that this
  /// component sets are dropped.
  header_list Headers;
  /// Sent as Magnolia-Request-Id; a response with a different id is rejected.
  std::string RequestId;
  /// The complete body, unless ReadBody is set.
  std::string Body;
  /// Reads a streamed body.
  body_reader ReadBody;
  /// Length of the streamed body; if absent, the body is sent chunked.
  std::optional<uint64_t> BodyLength;
  /// End of the attempt; the remaining time is sent to the target.
  common::boot_time Deadline;
  connection_choice Connection = connection_choice::FreshOnly;
};

/// Status and end-to-end headers of a response.
struct response_head {
  int Status = 0;
  header_list Headers;
  /// Absent for a chunked body.
  std::optional<uint64_t> BodyLength;
};

} // namespace magnolia::net
