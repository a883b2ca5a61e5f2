#pragma once

#include <chrono>
#include <functional>

/// Clocks. Code that makes decisions takes the time as an argument, so that
/// tests can simulate it; these clocks are read by the code that drives it,
/// such as threads, event loops and agents.
namespace magnolia::common {

/// Monotonic clock that also counts while the machine is suspended, so that a
/// lease that expires during the suspension is seen as expired afterwards.
struct boot_clock {
  using duration = std::chrono::microseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<boot_clock>;
  static constexpr bool is_steady = true;

  static time_point now();
};

using boot_time = boot_clock::time_point;

/// A hundred years. Longer times that others state are taken as this one, so
/// that no sum with a clock's time overflows.
inline constexpr boot_clock::duration LongestDuration =
    std::chrono::hours(24 * 365 * 100);

/// Wall-clock time in microseconds since 1970-01-01 UTC, comparable between
/// instances up to their clock skew.
using wall_time = std::chrono::time_point<std::chrono::system_clock,
                                          std::chrono::microseconds>;

/// The current wall-clock time.
wall_time wallNow();

/// Microseconds since 1970-01-01 UTC, the form in which wall times are
/// transmitted.
int64_t toUnixMicros(wall_time Time);

/// The inverse of toUnixMicros.
wall_time fromUnixMicros(int64_t Micros);

} // namespace magnolia::common
