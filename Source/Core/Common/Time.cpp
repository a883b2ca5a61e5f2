#include "Common/Time.h"

#include <ctime>

namespace magnolia::common {

boot_clock::time_point boot_clock::now() {
  timespec Spec{};
  clock_gettime(CLOCK_BOOTTIME, &Spec);
  const auto Elapsed = std::chrono::seconds(Spec.tv_sec) +
                       std::chrono::nanoseconds(Spec.tv_nsec);
  return time_point(std::chrono::duration_cast<duration>(Elapsed));
}

wall_time wallNow() {
  return std::chrono::time_point_cast<std::chrono::microseconds>(
      std::chrono::system_clock::now());
}

int64_t toUnixMicros(wall_time Time) { return Time.time_since_epoch().count(); }

wall_time fromUnixMicros(int64_t Micros) {
  return wall_time(std::chrono::microseconds(Micros));
}

} // namespace magnolia::common
