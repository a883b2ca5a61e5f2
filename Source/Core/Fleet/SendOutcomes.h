#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <string_view>

#include <absl/container/flat_hash_map.h>

#include "Common/Time.h"
#include "Placement/GrayEstimator.h"

namespace magnolia::fleet {

/// How many requests targets took and how many they refused to run, by service
/// over the whole fleet, in the last half second. Load pattern: see
/// admission::rank_threshold. Reads no clock; not thread-safe.
class send_outcomes {
public:
  /// Counts evidence of one request, of this instance or a peer. Evidence that
  /// says neither is ignored.
  void count(std::string_view Service, placement::evidence Evidence,
             common::boot_time Now);

  struct rates {
    /// Requests per second.
    double Taken = 0;
    double Refused = 0;
  };
  rates ratesOf(std::string_view Service, common::boot_time Now) const;

private:
  static constexpr size_t IntervalCount = 5;

  struct interval {
    int64_t Number = -1;
    uint32_t Taken = 0;
    uint32_t Refused = 0;
  };

  absl::flat_hash_map<std::string, std::array<interval, IntervalCount>>
      Services;
};

} // namespace magnolia::fleet
