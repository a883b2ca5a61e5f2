#pragma once

#include "Quota/Amount.h"

namespace magnolia::quota {

/// An exponentially weighted moving average of the rate of arrivals.
class demand_meter {
public:
  /// Counts one arrival.
  void countArrival(common::boot_time Now);

  /// The rate of arrivals at \p Now.
  nano_rate rate(common::boot_time Now) const;

private:
  /// Arrivals per second as of Last.
  double PerSecond = 0;
  common::boot_time Last;
};

} // namespace magnolia::quota
