#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>

#include <absl/status/statusor.h>

#include "Common/Time.h"

namespace magnolia::stand_ins {

enum class gray_kind : uint8_t {
  None,
  /// Works longer by the delay.
  Slow,
  /// Runs the request and never answers.
  Stall,
  /// Runs the request and sends half of the answer.
  HalfAnswer,
  /// Runs the request and resets the connection.
  Reset,
  /// Answers with the id and body of another request.
  WrongAnswer,
  /// Sends the answer twice, so that the second one is left over.
  DoubleAnswer,
  /// Alternates between healthy and Reset without a run.
  Flapping,
  /// Sends chunks and closes before the last one.
  ChunkedWithoutEnd,
  /// Sends an answer of the given number of bytes.
  Oversize
};

/// How the target misbehaves at present.
struct gray_mode {
  gray_kind Kind = gray_kind::None;
  /// Added to the work time by Slow; length of a phase for Flapping.
  std::chrono::milliseconds Delay{1000};
  /// Length of the answer for Oversize.
  uint64_t Bytes = 0;
  /// Misbehaves at each n-th request only.
  uint32_t Every = 1;
  /// Health and load look as if all were well.
  bool LyingHealth = false;
  common::boot_time Since;
};

/// Reads {"mode": "slow", "delay_ms": 500, "bytes": 0, "every": 1,
/// "lying_health": false}; modes are written in snake case.
absl::StatusOr<gray_mode> parseGrayMode(std::string_view Json);

} // namespace magnolia::stand_ins
