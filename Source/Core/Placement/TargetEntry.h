#pragma once

#include <cstdint>
#include <string>

#include "Common/Time.h"

/// Which target gets a request.
namespace magnolia::placement {

using common::boot_time;
using duration = common::boot_clock::duration;

/// What a target says of itself.
struct target_entry {
  std::string Id;
  std::string Service;
  /// "IPv4:port".
  std::string Address;
  std::string FailureDomain;
  std::string Version;
  /// Requests that it runs at the same time.
  uint32_t Capacity = 1;
  bool Draining = false;
  /// How much longer it stays slow after its start.
  duration WarmupLeft{0};
  /// Unix milliseconds of its start; tells incarnations of one id apart.
  int64_t StartedUnixMs = 0;
  /// Grows with each report of one incarnation.
  int64_t Sequence = 0;
};

/// Names one incarnation of a target between instances.
using target_key = uint32_t;

/// The key of \p Entry, the same on every instance.
target_key keyOf(const target_entry &Entry);

} // namespace magnolia::placement
