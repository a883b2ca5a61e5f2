#include "Quota/DemandMeter.h"

#include <algorithm>
#include <cmath>

namespace magnolia::quota {

namespace {

constexpr double TimeConstantSeconds = 0.5;

double decay(common::boot_time From, common::boot_time To) {
  const std::chrono::duration<double> Elapsed = To - From;
  return std::exp(-std::max(0.0, Elapsed.count()) / TimeConstantSeconds);
}

} // namespace

void demand_meter::countArrival(common::boot_time Now) {
  PerSecond = PerSecond * decay(Last, Now) + 1 / TimeConstantSeconds;
  Last = std::max(Last, Now);
}

nano_rate demand_meter::rate(common::boot_time Now) const {
  return static_cast<nano_rate>(PerSecond * decay(Last, Now) *
                                static_cast<double>(OneToken));
}

} // namespace magnolia::quota
