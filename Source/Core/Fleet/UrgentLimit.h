#pragma once

#include <algorithm>
#include <cstddef>

#include "Common/Time.h"

namespace magnolia::fleet {

/// Bounds of the urgent messages of a fleet.
struct urgent_settings {
  /// Messages a second that all instances together send to each instance.
  double FleetRate = 400;
  /// Messages that one instance may send at once.
  double Burst = 3;
};

/// Bounds one instance's urgent messages to its part of the fleet's. What does
/// not fit waits for the next update. Load pattern: a fifth of all targets
/// fails at once, each instance sees it at many targets, and hundreds of
/// instances would tell each other of every failure. Reads no clock; not
/// thread-safe.
class urgent_limit {
public:
  explicit urgent_limit(const urgent_settings &Settings)
      : Settings(Settings), Tokens(Settings.Burst) {}

  /// Consumes one message; false if none may be sent now. \p Instances: number
  /// of instances in the fleet, this one included.
  bool tryAcquire(size_t Instances, common::boot_time Now) {
    const double Rate = Settings.FleetRate /
                        static_cast<double>(std::max<size_t>(Instances, 1));
    const double Passed = std::chrono::duration<double>(Now - Updated).count();
    Tokens = std::min(Settings.Burst, Tokens + Rate * std::max(Passed, 0.0));
    Updated = Now;
    if (Tokens < 1)
      return false;
    Tokens -= 1;
    return true;
  }

private:
  const urgent_settings Settings;
  double Tokens;
  common::boot_time Updated;
};

} // namespace magnolia::fleet
