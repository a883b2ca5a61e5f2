#include "Fleet/UrgentLimit.h"

#include <vector>

#include <doctest/doctest.h>

using namespace magnolia::fleet;
using magnolia::common::boot_time;
using std::chrono::milliseconds;

TEST_CASE("Urgent messages while a fifth of all targets fails at once") {
  // Each of 177 instances sees one of 541 targets fail every 20 ms.
  constexpr size_t Instances = 177;
  std::vector<urgent_limit> Fleet(Instances, urgent_limit(urgent_settings()));
  const boot_time Start(std::chrono::seconds(50));
  const auto SendFor = [&](milliseconds From, milliseconds To) {
    size_t Sent = 0;
    for (milliseconds At = From; At < To; At += milliseconds(20))
      for (urgent_limit &Limit : Fleet)
        if (Limit.tryAcquire(Instances, Start + At))
          ++Sent;
    return Sent;
  };

  SUBCASE("stay within the fleet's rate after the first ones") {
    // Three of each at once.
    CHECK(SendFor(milliseconds(0), milliseconds(100)) <= 3 * Instances + 40);
    CHECK(SendFor(milliseconds(100), milliseconds(1100)) <= 400 + Instances);
    CHECK(SendFor(milliseconds(1100), milliseconds(2100)) <= 400 + 40);
  }
  SUBCASE("are never refused at an instance that sends few") {
    urgent_limit &One = Fleet.front();
    for (int Second = 0; Second < 60; ++Second)
      CHECK(One.tryAcquire(Instances, Start + std::chrono::seconds(Second)));
  }
  SUBCASE("are sent at once in a small fleet") {
    urgent_limit &One = Fleet.front();
    size_t Sent = 0;
    for (int Number = 0; Number < 20; ++Number)
      if (One.tryAcquire(4, Start + milliseconds(20) * Number))
        ++Sent;
    CHECK(Sent == 20);
  }
}
