#include "Target/FloorLease.h"

#include <doctest/doctest.h>

#include "MemoryTable.h"

using namespace magnolia;
using namespace magnolia::target;
using std::chrono::seconds;

TEST_CASE("A floor lease") {
  test::memory_table Table;
  const platform::table_service Service = Table.service();
  const floor_lease_settings Settings;
  floor_lease First("floor/0", "a-1", Settings);
  floor_lease Second("floor/0", "b-1", Settings);
  const auto Poll = [&](floor_lease &Lease, int Second) {
    return Lease.poll(Service, common::wall_time(seconds(1000 + Second)),
                      common::boot_time(seconds(Second)));
  };
  const auto Holds = [](const floor_lease &Lease, int Second) {
    return Lease.heldUntil() > common::boot_time(seconds(Second));
  };
  REQUIRE(Poll(First, 10).ok());
  REQUIRE(Holds(First, 10));

  SUBCASE("is held by one instance at a time") {
    for (int At = 11; At < 200; ++At) {
      CHECK(Poll(Second, At).ok());
      CHECK_FALSE((Holds(First, At) && Holds(Second, At)));
    }
    CHECK(Holds(Second, 199));
  }

  SUBCASE("is renewed by its holder") {
    for (int At = 11; At < 200; ++At) {
      CHECK(Poll(First, At).ok());
      CHECK(Poll(Second, At).ok());
      CHECK(Holds(First, At));
    }
  }

  SUBCASE("expires while the platform is unavailable") {
    Table.Unavailable = true;
    CHECK_FALSE(Poll(First, 60).ok());
    CHECK(Holds(First, 60));
    CHECK_FALSE(Holds(First, 70));
  }

  SUBCASE("is not held after a lost reply until the row is read again") {
    Table.LoseReplies = true;
    CHECK_FALSE(Poll(Second, 200).ok());
    CHECK_FALSE(Holds(Second, 200));
    Table.LoseReplies = false;
    CHECK(Poll(First, 201).ok());
    CHECK_FALSE(Holds(First, 201));
    CHECK(Poll(Second, 201).ok());
    CHECK(Holds(Second, 201));
  }

  SUBCASE("is acquired by another instance soon after its release") {
    CHECK(First.release(Service, common::wall_time(seconds(1013))).ok());
    CHECK_FALSE(Holds(First, 11));
    CHECK(Poll(Second, 14).ok());
    CHECK_FALSE(Holds(Second, 14));
    CHECK(Poll(Second, 16).ok());
    CHECK(Holds(Second, 16));
  }
}
