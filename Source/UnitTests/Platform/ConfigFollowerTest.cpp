#include "Platform/ConfigFollower.h"

#include <random>

#include <doctest/doctest.h>

#include "Common/Digest.h"
#include "Contract/Codec.h"
#include "FollowerFleet.h"

using namespace magnolia::platform;
using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr size_t FleetSize = 14;
/// Longer than the default staleness bound of eight seconds.
constexpr seconds PastStaleness(10);
constexpr seconds InForceWithin(4);

size_t countServing(const follower_fleet &Fleet) {
  size_t Count = 0;
  for (size_t Index = 0; Index < Fleet.size(); ++Index)
    Count += Fleet.servesKeyed(Index) ? 1 : 0;
  return Count;
}

} // namespace

TEST_CASE("A fleet that follows the configuration") {
  follower_fleet Fleet(FleetSize, 1);

  SUBCASE("serves nothing before the first version") {
    Fleet.runFor(seconds(5));
    CHECK(Fleet.allHave(0));
    CHECK(countServing(Fleet) == 0);
  }

  const uint64_t First = Fleet.change();
  Fleet.runFor(InForceWithin);
  REQUIRE(Fleet.allHave(First));
  REQUIRE(countServing(Fleet) == FleetSize);

  SUBCASE("activates a change everywhere within seconds") {
    const uint64_t Version = Fleet.change();
    Fleet.runFor(InForceWithin);
    CHECK(Fleet.allHave(Version));
    CHECK(Fleet.reverts() == 0);
  }

  SUBCASE("keeps serving while the platform is down for an hour") {
    Fleet.platform().setFaults({true, {}, 0, 0});
    Fleet.runFor(hours(1));
    CHECK(countServing(Fleet) == FleetSize);

    SUBCASE("and replaced instances get the version from their peers") {
      for (size_t Index = 0; Index < FleetSize; ++Index) {
        Fleet.restart(Index);
        CHECK_FALSE(Fleet.servesKeyed(Index));
        Fleet.runFor(PastStaleness);
        CHECK(Fleet.versionOf(Index) == First);
        CHECK(Fleet.servesKeyed(Index));
      }
    }
    SUBCASE("but not in instances that reach too few peers") {
      for (size_t Index = 0; Index < FleetSize / 2; ++Index)
        for (size_t Other = FleetSize / 2; Other < FleetSize; ++Other) {
          Fleet.cutLink(Index, Other, true);
          Fleet.cutLink(Other, Index, true);
        }
      Fleet.runFor(PastStaleness);
      CHECK(countServing(Fleet) == 0);
    }
  }

  SUBCASE("updates an instance that is cut off from the platform only") {
    Fleet.cutFromPlatform(3, true);
    Fleet.runFor(PastStaleness);
    CHECK(Fleet.servesKeyed(3));
    const uint64_t Version = Fleet.change();
    Fleet.runFor(PastStaleness);
    CHECK(Fleet.versionOf(3) == Version);
    CHECK(Fleet.servesKeyed(3));
  }

  SUBCASE("stops an instance that is isolated until it is reconnected") {
    Fleet.cutFromPlatform(3, true);
    SUBCASE("in both directions") { Fleet.cutFromPeers(3, true); }
    SUBCASE("so that it only receives") {
      for (size_t Other = 0; Other < FleetSize; ++Other)
        Fleet.cutLink(3, Other, true);
    }
    SUBCASE("so that it only sends") {
      for (size_t Other = 0; Other < FleetSize; ++Other)
        Fleet.cutLink(Other, 3, true);
    }
    Fleet.runFor(PastStaleness);
    CHECK_FALSE(Fleet.servesKeyed(3));
    CHECK(countServing(Fleet) == FleetSize - 1);
    const uint64_t Version = Fleet.change();
    Fleet.cutFromPlatform(3, false);
    Fleet.runFor(InForceWithin);
    CHECK(Fleet.versionOf(3) == Version);
    CHECK(Fleet.servesKeyed(3));
  }

  SUBCASE("stops a minority whose members reach only each other") {
    for (size_t Index = 0; Index < 6; ++Index) {
      Fleet.cutFromPlatform(Index, true);
      for (size_t Other = 6; Other < FleetSize; ++Other) {
        Fleet.cutLink(Index, Other, true);
        Fleet.cutLink(Other, Index, true);
      }
    }
    Fleet.runFor(PastStaleness);
    CHECK(countServing(Fleet) == FleetSize - 6);

    SUBCASE("even after they drop the others") {
      for (size_t Index = 0; Index < 6; ++Index)
        Fleet.setPeers(Index, {(Index + 1) % 6, (Index + 2) % 6});
      Fleet.runFor(PastStaleness);
      CHECK(countServing(Fleet) == FleetSize - 6);
    }
  }

  SUBCASE("stops instances that start while they reach only a minority") {
    for (size_t Index = 0; Index < 2; ++Index) {
      Fleet.cutFromPlatform(Index, true);
      for (size_t Other = 2; Other < FleetSize; ++Other) {
        Fleet.cutLink(Index, Other, true);
        Fleet.cutLink(Other, Index, true);
      }
    }
    Fleet.restart(0, {1});
    Fleet.runFor(PastStaleness);
    Fleet.restart(1, {0});
    Fleet.runFor(PastStaleness);
    CHECK(Fleet.versionOf(1) == First);
    CHECK(countServing(Fleet) == FleetSize - 2);
  }

  SUBCASE("needs no confirmation by instances removed before an outage") {
    for (size_t Index = 0; Index < 5; ++Index)
      Fleet.setPeers(Index, {(Index + 1) % 5, (Index + 2) % 5, (Index + 3) % 5,
                             (Index + 4) % 5});
    Fleet.platform().setFaults({true, {}, 0, 0});
    for (size_t Index = 5; Index < FleetSize; ++Index)
      Fleet.pause(Index, true);
    Fleet.runFor(PastStaleness);
    for (size_t Index = 0; Index < 5; ++Index)
      CHECK(Fleet.servesKeyed(Index));
  }

  SUBCASE("stops a paused instance as soon as it resumes") {
    // Messages queued during the pause must not count as fresh.
    Fleet.runFor(milliseconds(950));
    Fleet.pause(3, true);
    Fleet.runFor(PastStaleness);
    const uint64_t Version = Fleet.change();
    Fleet.pause(3, false);
    CHECK_FALSE(Fleet.servesKeyed(3));
    Fleet.runFor(InForceWithin);
    CHECK(Fleet.versionOf(3) == Version);
    CHECK(Fleet.servesKeyed(3));
  }

  SUBCASE("ignores a head row with an earlier version") {
    const uint64_t Version = Fleet.change();
    Fleet.runFor(InForceWithin);
    const services Services = Fleet.platform().bind();
    REQUIRE(Services.Table
                .Commit({}, {{{std::string(ConfigHeadKey),
                               R"({"version":1,"change_id":"x",)"
                               R"("digest":"y","actor":"z"})"}}})
                .ok());
    Fleet.runFor(PastStaleness);
    CHECK(Fleet.allHave(Version));
    CHECK(Fleet.reverts() == 0);
  }
}

TEST_CASE("A follower without peers") {
  using magnolia::common::boot_time;
  constexpr boot_time Start(hours(1));
  const std::string Bytes = magnolia::contract::encode({1, {}, {}});
  config_head Head;
  Head.Version = 1;
  Head.Digest = magnolia::common::sha256Hex(Bytes);
  uint64_t Poll = 0;
  uint64_t Attempt = 0;
  size_t Applied = 0;
  std::mt19937_64 Random(1);
  follower_hooks Hooks;
  Hooks.PollHead = [&](uint64_t Id) { Poll = Id; };
  Hooks.FetchObject = [&](uint64_t Id, const std::string &) { Attempt = Id; };
  Hooks.Send = [](const std::string &, const config_message &) {};
  Hooks.Apply = [&](const auto &) { ++Applied; };
  Hooks.Random = [&] { return Random(); };
  config_follower Follower({}, Hooks);
  Follower.advance(Start);
  Follower.onHead(Start, Poll, Head);
  REQUIRE(Attempt == 1);

  SUBCASE("rejects an object with another digest and a late reply") {
    Follower.onObject(Start, Attempt, Bytes + " ");
    CHECK(Applied == 0);
    Follower.advance(Start + seconds(1));
    REQUIRE(Attempt == 2);
    Follower.onObject(Start, 1, Bytes);
    CHECK(Applied == 0);
    Follower.onObject(Start, Attempt, Bytes);
    CHECK(Applied == 1);
  }

  SUBCASE("counts the age of a poll result from the start of the poll") {
    Follower.onObject(Start, Attempt, Bytes);
    CHECK(Applied == 1);
    CHECK(Follower.keyedUntil() == Start + seconds(8));
    const boot_time Second = Start + seconds(2);
    Follower.advance(Second);
    Follower.onHead(Second + seconds(4), Poll, Head);
    CHECK(Follower.keyedUntil() == Second + seconds(8));
    CHECK(Applied == 1);
  }
}

namespace {

constexpr uint64_t Schedules = 40;
constexpr int StepsPerSchedule = 120;
/// Maximum time from the acceptance of a change to the last keyed request
/// served without it: a confirmation may be as old as the poll that finds the
/// change, plus the staleness bound.
constexpr seconds StopsWithin(12);

/// Cuts off, pauses and restarts at most a minority. The staleness rule does
/// not cover a majority that is cut off from both the table and the instances
/// with a later version: its members confirm their version to each other and go
/// on serving.
class random_faults {
public:
  random_faults(follower_fleet &Fleet, uint64_t Seed)
      : Fleet(Fleet), Random(Seed) {}

  void step() {
    const size_t Index = Random() % (FleetSize / 2 - 1);
    switch (Random() % 8) {
    case 0:
      Fleet.cutFromPlatform(Index, Random() % 2 == 0);
      break;
    case 1:
      Fleet.cutFromPeers(Index, Random() % 2 == 0);
      break;
    case 2:
      Fleet.cutLink(Index, Random() % FleetSize, Random() % 2 == 0);
      break;
    case 3:
      Fleet.pause(Index, Random() % 2 == 0);
      break;
    case 4:
      if (!Fleet.isPaused(Index))
        Fleet.restart(Index);
      break;
    case 5:
      Fleet.platform().setFaults({Random() % 3 == 0, {}, 0, 0});
      break;
    default:
      change();
    }
  }

  void check() const {
    CHECK(Fleet.reverts() == 0);
    for (size_t Index = 0; Index < FleetSize; ++Index) {
      const uint64_t Next = Fleet.versionOf(Index) + 1;
      if (Fleet.isPaused(Index) || !Fleet.servesKeyed(Index) || Next > Latest)
        continue;
      CHECK_MESSAGE(Fleet.now() <= Fleet.acceptedAt(Next) + StopsWithin,
                    "instance ", Index, " serves without version ", Next);
    }
  }

private:
  void change() {
    if (const uint64_t Version = Fleet.change(); Version > 0)
      Latest = Version;
  }

  follower_fleet &Fleet;
  std::mt19937_64 Random;
  uint64_t Latest = 0;
};

} // namespace

TEST_CASE("Under random faults no instance reverts or serves stale keys") {
  for (uint64_t Seed = 1; Seed <= Schedules; ++Seed) {
    CAPTURE(Seed);
    follower_fleet Fleet(FleetSize, Seed);
    Fleet.setLoss(50);
    random_faults Faults(Fleet, Seed);
    for (int Step = 0; Step < StepsPerSchedule; ++Step) {
      Faults.step();
      Fleet.runFor(seconds(1));
      Faults.check();
    }
  }
}

TEST_CASE("A change that is accepted after the table was restored") {
  follower_fleet Fleet(FleetSize, 1);
  Fleet.change();
  Fleet.runFor(InForceWithin);
  const memory_platform::table_copy Copy = Fleet.platform().copyTable();
  for (int Count = 0; Count < 3; ++Count)
    Fleet.change();
  Fleet.runFor(InForceWithin);
  Fleet.platform().restoreTable(Copy);
  const uint64_t Accepted = Fleet.change();
  REQUIRE(Accepted != 0);
  Fleet.runFor(InForceWithin);
  CHECK(Fleet.allHave(Accepted));
}
