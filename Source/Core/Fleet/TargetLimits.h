#pragma once

#include <array>
#include <optional>
#include <vector>

#include <absl/container/flat_hash_map.h>

#include "Fleet/FleetMessage.h"

namespace magnolia::fleet {

/// The limits that targets name in their responses: the requests per second
/// that they take from the whole fleet, for as long as they say so. Reads no
/// clock; not thread-safe.
class target_limits {
public:
  /// Records what \p Target said in a response at \p Now: its limit, or that it
  /// has none. Returns whether the limit changed.
  bool state(placement::target_key Target, std::optional<double> PerSecond,
             boot_time Now);

  /// The limit of \p Target, if it has one.
  std::optional<double> limitOf(placement::target_key Target) const;

  /// Number of targets with a limit.
  size_t limitedCount() const;

private:
  struct limit {
    std::optional<double> PerSecond;
    /// When it was said.
    boot_time SaidAt;
  };

  absl::flat_hash_map<placement::target_key, limit> Limits;
};

} // namespace magnolia::fleet
