#pragma once

#include <chrono>
#include <cstdint>
#include <functional>

#include "Common/Time.h"

namespace magnolia::admission {

/// The result of one request, as far as it affects the target's limit.
enum class target_outcome : uint8_t {
  Succeeded,
  /// The target refused it without running it.
  Refused,
  /// It failed or timed out, which says nothing about the target's free slots.
  Failed,
};

/// One finished request, the input of a limit_rule.
struct limit_sample {
  target_outcome Outcome = target_outcome::Succeeded;
  /// From the first byte written to the end of the response.
  std::chrono::microseconds Latency{0};
  /// Requests in flight to the target when this one ended, itself included.
  uint32_t InFlight = 1;
  common::boot_time Now;
};

/// The adaptive limit of one target in one instance. It may lie below one: if
/// more instances than slots share a target, each has a fraction of a slot.
struct limit_state {
  double Limit = 1;
  /// The target's slots divided by the instances that use it.
  double Share = 1;
  double Lowest = 0.1;
  double Highest = 1;
  /// Smoothed latency in microseconds, and its slow average.
  double FastLatency = 0;
  double SlowLatency = 0;
  common::boot_time LastDecrease;
};

/// Adapts a limit to one sample.
using limit_rule =
    std::function<void(limit_state &State, const limit_sample &Sample)>;

/// Additive increase while the limit is in use, multiplicative decrease on a
/// refusal or when latency rises well above its slow average.
limit_rule additiveIncreaseRule();

/// Keeps the limit as it is.
limit_rule fixedRule();

} // namespace magnolia::admission
