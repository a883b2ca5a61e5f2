#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

#include "Common/Time.h"

namespace magnolia::fleet {

using common::boot_time;
using duration = common::boot_clock::duration;

/// A count in a sliding window, in constant memory: the window moves by
/// intervals of a twentieth of its length. Every call must give the same
/// window. Reads no clock; not thread-safe.
class sliding_count {
public:
  void add(duration Window, double Count, boot_time Now) {
    const int64_t Number = intervalNumber(Window, Now);
    interval &Interval =
        Intervals.at(static_cast<size_t>(Number) % IntervalCount);
    if (Interval.Number != Number)
      Interval = {Number, 0};
    Interval.Count += Count;
  }

  /// The count of the window that ends at \p Now.
  double sumAt(duration Window, boot_time Now) const {
    const int64_t Current = intervalNumber(Window, Now);
    double Sum = 0;
    for (const interval &Interval : Intervals)
      if (Interval.Number + static_cast<int64_t>(IntervalCount) > Current)
        Sum += Interval.Count;
    return Sum;
  }

private:
  static constexpr size_t IntervalCount = 20;

  struct interval {
    int64_t Number = -1;
    double Count = 0;
  };

  static int64_t intervalNumber(duration Window, boot_time Now) {
    return Now.time_since_epoch() /
           (Window / static_cast<int64_t>(IntervalCount));
  }

  std::array<interval, IntervalCount> Intervals;
};

} // namespace magnolia::fleet
