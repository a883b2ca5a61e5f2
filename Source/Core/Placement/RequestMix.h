#pragma once

#include <string>
#include <string_view>

#include <absl/container/flat_hash_map.h>

#include "Common/Time.h"

namespace magnolia::placement {

using common::boot_time;

/// Which part of the requests of each service is repeatable, over the last few
/// seconds at this instance. Load pattern: one service takes look-ups and
/// orders together; a look-up that probes a gray target is sent again, an order
/// is lost. Reads no clock; not thread-safe.
class request_mix {
public:
  void count(std::string_view Service, bool Repeatable, boot_time Now);

  /// Zero while nothing is known.
  double repeatableFraction(std::string_view Service) const;

private:
  /// Recent requests; older ones weigh less.
  struct weights {
    double All = 0;
    double Repeatable = 0;
    boot_time Updated;
  };

  absl::flat_hash_map<std::string, weights> Services;
};

} // namespace magnolia::placement
