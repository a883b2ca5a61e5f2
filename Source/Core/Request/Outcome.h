#pragma once

#include <cstdint>
#include <optional>

#include "Common/ErrorKind.h"
#include "Common/Time.h"

namespace magnolia::request {

/// Times of the steps of one attempt; absent for steps that it did not reach.
struct attempt_times {
  common::boot_time Started;
  std::optional<common::boot_time> Connected;
  std::optional<common::boot_time> RequestWritten;
  std::optional<common::boot_time> ResponseHead;
  common::boot_time Finished;
};

/// What is known about one attempt at one target after its end.
struct attempt_outcome {
  /// Absent when a complete response was received.
  std::optional<common::error_kind> Error;
  common::execution Execution = common::execution::Unknown;
  /// Bytes that were handed to the connection and received from it.
  uint64_t BytesWritten = 0;
  uint64_t BytesRead = 0;
  /// HTTP status of the response, zero if no head was received.
  int HttpStatus = 0;
  /// The target reported that it is draining.
  bool TargetDraining = false;
  /// The connection had served earlier requests.
  bool ConnectionReused = false;
  attempt_times Times;

  bool ok() const { return !Error.has_value(); }
};

} // namespace magnolia::request
