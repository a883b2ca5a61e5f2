#pragma once

#include <cstdint>
#include <string>

#include "Common/Time.h"

/// Selection of the target for a request.
namespace magnolia::placement {

using common::boot_time;
using duration = common::boot_clock::duration;

/// The state that a target publishes.
struct target_entry {
  std::string Id;
  std::string Service;
  /// "IPv4:port".
  std::string Address;
  std::string FailureDomain;
  std::string Version;
  /// Maximum number of requests that it runs concurrently.
  uint32_t Capacity = 1;
  bool Draining = false;
  /// Remaining time for which it is cold: slow, and taking few requests.
  duration WarmupLeft{0};
  /// Start time in Unix milliseconds; distinguishes the incarnations of one id.
  int64_t StartedUnixMs = 0;
  /// Increases with each report of one incarnation.
  int64_t Sequence = 0;
};

/// Identifies one incarnation of a target in messages between instances.
using target_key = uint32_t;

/// The key of \p Entry, the same on every instance.
target_key keyOf(const target_entry &Entry);

/// How long a target with this remaining time counts as cold: the time rounded
/// up to a power of two in seconds. Instances that see only reports with
/// another identityHash() then never believe too early that it is warm, also if
/// it became cold anew meanwhile.
duration countedWarmup(duration Left);

/// A hash of all that matters to requests: all but what each report of a target
/// changes, its sequence and how long it is still cold, except for
/// countedWarmup().
uint64_t identityHash(const target_entry &Entry);

} // namespace magnolia::placement
