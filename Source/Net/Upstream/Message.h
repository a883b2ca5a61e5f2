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

/// Requests to targets and their answers over HTTP/1.1.
namespace magnolia::net {

/// Headers of the contract between instances and targets.
inline constexpr std::string_view RequestIdHeader = "Magnolia-Request-Id";
inline constexpr std::string_view DeadlineHeader = "Magnolia-Deadline-Ms";
inline constexpr std::string_view NotRunHeader = "Magnolia-Not-Run";
inline constexpr std::string_view DrainingHeader = "Magnolia-Draining";

/// Fills \p Buffer with the next bytes of a request body and returns their
/// number, zero at the end. An error ends the attempt.
using body_reader = std::function<absl::StatusOr<size_t>(absl::Span<char>)>;

/// Whether a connection that served earlier requests may be used. A target can
/// close such a connection while a request is being written, which leaves its
/// execution unknown, so requests that are not repeatable use fresh ones.
enum class connection_choice : uint8_t { FreshOnly, ReuseAllowed };

/// One request as it goes to a target.
struct upstream_request {
  std::string Method;
  /// Path with query, percent-encoded as the caller sent it.
  std::string Path;
  /// End-to-end headers. Hop-by-hop headers, lengths and the headers that this
  /// room sets itself are dropped.
  header_list Headers;
  /// Sent as Magnolia-Request-Id; an answer that carries another is refused.
  std::string RequestId;
  /// The whole body, unless ReadBody is set.
  std::string Body;
  /// Streams the body in.
  body_reader ReadBody;
  /// Length of the streamed body; absent sends it in chunks.
  std::optional<uint64_t> BodyLength;
  /// The attempt ends here; the remaining time goes to the target.
  common::boot_time Deadline;
  connection_choice Connection = connection_choice::FreshOnly;
};

/// Status and headers of an answer, hop-by-hop headers dropped.
struct response_head {
  int Status = 0;
  header_list Headers;
  /// Absent for a body sent in chunks.
  std::optional<uint64_t> BodyLength;
};

} // namespace magnolia::net
