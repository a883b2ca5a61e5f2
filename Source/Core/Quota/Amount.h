#pragma once

#include <cstdint>

#include "Common/Time.h"

/// Rate and burst of workspaces over the whole fleet. Rights are divided and
/// moved between instances, never copied, so that in every window all instances
/// together admit at most burst + rate * window requests.
namespace magnolia::quota {

/// A number of requests in units of 1e-9. Integers, so that rounding errors
/// cannot add up to a token.
using nano_tokens = int64_t;

/// Nano tokens per second.
using nano_rate = int64_t;

/// The right to send one request.
inline constexpr nano_tokens OneToken = 1'000'000'000;

using duration = common::boot_clock::duration;

/// One reading of both clocks.
struct instant {
  common::boot_time Boot;
  common::wall_time Wall;
};

/// The end of a right: it has passed as soon as either clock reaches it.
struct expiry {
  common::boot_time Boot = common::boot_time::min();
  common::wall_time Wall = common::wall_time::min();

  bool passed(instant Now) const {
    return Now.Boot >= Boot || Now.Wall >= Wall;
  }

  /// Remaining time by the clock that ends first; zero when passed.
  duration left(instant Now) const {
    if (passed(Now))
      return duration::zero();
    const duration ByBoot = Boot - Now.Boot;
    const duration ByWall = Wall - Now.Wall;
    return ByBoot < ByWall ? ByBoot : ByWall;
  }
};

/// The expiry \p Term after \p Start on both clocks.
inline expiry expiryAfter(instant Start, duration Term) {
  return {Start.Boot + Term, Start.Wall + Term};
}

} // namespace magnolia::quota
