#include "Target/FloorLease.h"

#include <map>

#include <doctest/doctest.h>

using namespace magnolia;
using namespace magnolia::target;
using std::chrono::seconds;

namespace {

/// A table in memory that can be away or lose the reply of a commit.
struct table {
  platform::table_service service() {
    platform::table_service Service;
    Service.Get =
        [this](std::string_view Key) -> absl::StatusOr<platform::row> {
      if (Away)
        return absl::UnavailableError("away");
      return Rows[std::string(Key)];
    };
    Service.Commit = [this](absl::Span<const platform::condition> Conditions,
                            absl::Span<const platform::write> Writes) {
      platform::row &Row = Rows[Conditions[0].Key];
      if (Row.Version != Conditions[0].Version)
        return absl::AbortedError("version");
      Row = {Writes[0].Key, *Writes[0].Value, Row.Version + 1};
      return LoseReplies ? absl::UnknownError("lost") : absl::OkStatus();
    };
    return Service;
  }

  std::map<std::string, platform::row> Rows;
  bool Away = false;
  bool LoseReplies = false;
};

} // namespace

TEST_CASE("A floor lease") {
  table Table;
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

  SUBCASE("lapses while the platform is away") {
    Table.Away = true;
    CHECK_FALSE(Poll(First, 60).ok());
    CHECK(Holds(First, 60));
    CHECK_FALSE(Holds(First, 70));
  }

  SUBCASE("is not held on a reply that was lost until it is read back") {
    Table.LoseReplies = true;
    CHECK_FALSE(Poll(Second, 200).ok());
    CHECK_FALSE(Holds(Second, 200));
    Table.LoseReplies = false;
    CHECK(Poll(First, 201).ok());
    CHECK_FALSE(Holds(First, 201));
    CHECK(Poll(Second, 201).ok());
    CHECK(Holds(Second, 201));
  }

  SUBCASE("goes to another one soon after it was released") {
    CHECK(First.release(Service, common::wall_time(seconds(1013))).ok());
    CHECK_FALSE(Holds(First, 11));
    CHECK(Poll(Second, 14).ok());
    CHECK_FALSE(Holds(Second, 14));
    CHECK(Poll(Second, 16).ok());
    CHECK(Holds(Second, 16));
  }
}
