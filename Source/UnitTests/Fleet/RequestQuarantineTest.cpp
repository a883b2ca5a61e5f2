#include "Fleet/RequestQuarantine.h"

#include <doctest/doctest.h>

#include "Fleet/LostRequests.h"

using namespace magnolia::fleet;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

namespace {

constexpr uint64_t Deadly = 4711;
constexpr uint64_t Other = 4712;

boot_time at(int Millis) {
  return boot_time(seconds(100)) + milliseconds(Millis);
}

/// A run of 50 ms that ends at \p Millis.
ended_run run(uint32_t Target, int Millis) {
  return {Target, at(Millis - 50), at(Millis)};
}

} // namespace

TEST_CASE("A request under which targets end") {
  quarantine_settings Settings;
  request_quarantine Quarantine(Settings);
  CHECK_FALSE(Quarantine.recordEnded(Deadly, run(1, 0), at(0)));
  CHECK_FALSE(Quarantine.recordEnded(Deadly, run(2, 200), at(200)));
  CHECK_FALSE(Quarantine.quarantinedUntil(Deadly, at(300)).has_value());

  SUBCASE("is quarantined with the third") {
    CHECK(Quarantine.recordEnded(Deadly, run(3, 400), at(400)));
    CHECK(Quarantine.quarantinedUntil(Deadly, at(500)) == at(400) + minutes(2));
    CHECK(Quarantine.quarantinedCount(at(500)) == 1);
    CHECK_FALSE(Quarantine.quarantinedUntil(Other, at(500)).has_value());

    SUBCASE("for some time") {
      const boot_time Later = at(400) + minutes(2);
      CHECK_FALSE(Quarantine.quarantinedUntil(Deadly, Later).has_value());

      SUBCASE("and longer after each further one") {
        CHECK(Quarantine.recordEnded(Deadly, {4, Later, Later + seconds(1)},
                                     Later + seconds(1)));
        CHECK(Quarantine.quarantinedUntil(Deadly, Later + seconds(2)) ==
              Later + seconds(1) + minutes(4));
      }
      SUBCASE("and is forgotten in the end") {
        Quarantine.advance(Later + minutes(9));
        CHECK(Quarantine.endedTargets(Deadly) == 3);
        Quarantine.advance(Later + minutes(10));
        CHECK(Quarantine.empty());
      }
    }
    SUBCASE("until a target completes it") {
      Quarantine.recordCompleted(Deadly, at(600));
      CHECK_FALSE(Quarantine.quarantinedUntil(Deadly, at(600)).has_value());
      CHECK(Quarantine.endedTargets(Deadly) == 0);
    }
  }
  SUBCASE("is innocent if a target completed it meanwhile") {
    Quarantine.recordCompleted(Deadly, at(300));
    CHECK_FALSE(Quarantine.recordEnded(Deadly, run(3, 400), at(400)));
    CHECK(Quarantine.endedTargets(Deadly) == 0);

    SUBCASE("but not for long") {
      Quarantine.recordEnded(Deadly, run(4, 10400), at(10400));
      CHECK(Quarantine.endedTargets(Deadly) == 1);
    }
  }
  SUBCASE("is not blamed twice for one target") {
    CHECK_FALSE(Quarantine.recordEnded(Deadly, run(2, 400), at(400)));
  }
  SUBCASE("is blamed once for targets that end at the same moment") {
    for (uint32_t Target = 3; Target < 10; ++Target)
      CHECK_FALSE(Quarantine.recordEnded(
          Deadly, {Target, at(100), at(195 + static_cast<int>(Target))},
          at(210)));
    CHECK(Quarantine.endedTargets(Deadly) == 2);
    CHECK(Quarantine.recordEnded(Deadly, run(11, 500), at(500)));
  }
}

TEST_CASE("A request that ended all targets of a service at the same moment") {
  request_quarantine Quarantine{quarantine_settings()};
  constexpr uint32_t Targets = 4;
  const auto EndAllAt = [&](int Millis) {
    for (uint32_t Target = 1; Target <= Targets; ++Target)
      CHECK_FALSE(Quarantine.recordEnded(
          Deadly, run(Target, Millis + static_cast<int>(Target)),
          at(Millis + 10)));
  };
  EndAllAt(0);
  CHECK(Quarantine.endedTargets(Deadly) == 1);

  SUBCASE("is quarantined when it ends two of the others one after the other") {
    CHECK_FALSE(Quarantine.recordEnded(Deadly, run(2, 1500), at(1500)));
    CHECK(Quarantine.recordEnded(Deadly, run(3, 1700), at(1700)));
  }
  SUBCASE("is not blamed again for the one that counts") {
    CHECK_FALSE(Quarantine.recordEnded(Deadly, run(1, 1500), at(1500)));
    CHECK_FALSE(Quarantine.recordEnded(Deadly, run(1, 1700), at(1700)));
    CHECK(Quarantine.endedTargets(Deadly) == 1);
  }
  SUBCASE("is not blamed for one target that ends again and again") {
    for (int Millis = 1500; Millis < 9000; Millis += 1500)
      CHECK_FALSE(Quarantine.recordEnded(Deadly, run(2, Millis), at(Millis)));
    CHECK(Quarantine.endedTargets(Deadly) == 2);
  }
  SUBCASE("is not blamed for runs that peers report later") {
    for (uint32_t Target = 1; Target <= Targets; ++Target)
      CHECK_FALSE(Quarantine.recordEnded(
          Deadly, run(Target, 200 * static_cast<int>(Target)), at(900)));
    CHECK(Quarantine.endedTargets(Deadly) == 1);
  }
  SUBCASE("is blamed once for each further moment at which all of them end") {
    EndAllAt(1500);
    CHECK(Quarantine.endedTargets(Deadly) == 2);
  }
}

TEST_CASE(
    "What instances tell each other of requests under which targets end") {
  quarantine_settings Settings;
  Settings.MaxReported = 2;
  request_quarantine One(Settings);
  request_quarantine Two(Settings);
  const auto Report = [&](bool Everything, int Millis) {
    const auto Reports =
        One.collectReports(audience::SameDomain, Everything, at(Millis));
    for (const suspect_report &Each : Reports)
      Two.apply(Each, at(Millis));
    return Reports.size();
  };
  One.recordEnded(Deadly, run(1, 0), at(0));
  Two.recordEnded(Deadly, run(2, 200), at(200));
  One.recordEnded(Deadly, run(3, 400), at(400));

  SUBCASE("adds up, in any order") {
    CHECK(Report(false, 500) == 1);
    CHECK(Two.quarantinedUntil(Deadly, at(500)).has_value());
    CHECK_FALSE(One.quarantinedUntil(Deadly, at(500)).has_value());

    SUBCASE("and is told once") { CHECK(Report(false, 600) == 0); }
    SUBCASE("also that it was completed") {
      One.recordCompleted(Deadly, at(700));
      CHECK(Report(false, 750) == 1);
      CHECK_FALSE(Two.quarantinedUntil(Deadly, at(750)).has_value());
    }
  }
  SUBCASE("does not count where the receiver has completed the request") {
    One.recordEnded(Other, run(1, 0), at(10));
    Two.recordCompleted(Other, at(50));
    Report(false, 300);
    CHECK(Two.endedTargets(Other) == 0);
    CHECK(One.endedTargets(Other) == 1);
    // Which it tells the sender.
    for (const suspect_report &Each :
         Two.collectReports(audience::SameDomain, false, at(400)))
      One.apply(Each, at(400));
    CHECK(One.endedTargets(Other) == 0);
  }
  SUBCASE("counts once for a run that both know") {
    Two.recordEnded(Deadly, run(1, 0), at(0));
    Report(false, 500);
    CHECK(Two.endedTargets(Deadly) == 3);
  }
  SUBCASE("reaches an instance that starts later") {
    One.recordEnded(Deadly, run(2, 200), at(500));
    Report(false, 500);
    request_quarantine Fresh(Settings);
    for (const suspect_report &Each :
         One.collectReports(audience::SameDomain, true, at(900)))
      Fresh.apply(Each, at(900));
    CHECK(Fresh.quarantinedUntil(Deadly, at(900)).has_value());
  }
  SUBCASE("goes on in the next update") {
    for (uint32_t Each = 0; Each < 5; ++Each)
      for (int Run = 0; Run < 3; ++Run)
        One.recordEnded(Each,
                        run(10 * Each + static_cast<uint32_t>(Run), 100 * Run),
                        at(300));
    size_t Told = 0;
    for (int Count = 0; Count < 3; ++Count)
      Told += Report(false, 500);
    CHECK(Told == 6);
    CHECK(Two.quarantinedCount(at(500)) == 6);
    request_quarantine Fresh(Settings);
    for (int Count = 0; Count < 3; ++Count) {
      const auto Reports =
          One.collectReports(audience::SameDomain, true, at(600));
      CHECK(Reports.size() == 2);
      for (const suspect_report &Each : Reports)
        Fresh.apply(Each, at(600));
    }
    CHECK(Fresh.quarantinedCount(at(600)) == 5);
  }
}

TEST_CASE("A quarantine that was read from the store") {
  request_quarantine Quarantine({});
  Quarantine.restore(Deadly, at(5000), at(0));
  CHECK(Quarantine.quarantinedUntil(Deadly, at(4999)) == at(5000));
  CHECK_FALSE(Quarantine.quarantinedUntil(Deadly, at(5000)).has_value());
  Quarantine.recordCompleted(Deadly, at(100));
  CHECK_FALSE(Quarantine.quarantinedUntil(Deadly, at(200)).has_value());
  Quarantine.restore(Other, at(0), at(0));
  CHECK(Quarantine.size() == 1);
}

TEST_CASE("Requests under which targets ended are remembered within bounds") {
  quarantine_settings Settings;
  Settings.MaxRequests = 100;
  request_quarantine Quarantine(Settings);
  for (uint64_t Each = 0; Each < 1000; ++Each)
    Quarantine.recordEnded(Each, run(1, 0), at(static_cast<int>(Each)));
  CHECK(Quarantine.size() == 100);
  CHECK(Quarantine.endedTargets(999) == 1);
  CHECK(Quarantine.endedTargets(0) == 0);
}

TEST_CASE("Requests that were lost at this instance") {
  lost_requests Lost;
  CHECK_FALSE(Lost.remember(Deadly, run(1, 0)).has_value());

  SUBCASE("are recognized when they are lost again") {
    const auto Before = Lost.remember(Deadly, run(2, 100));
    REQUIRE(Before.has_value());
    CHECK(Before->Target == 1);
    CHECK(Lost.remember(Deadly, run(3, 200))->Target == 2);
  }
  SUBCASE("but not after they were completed") {
    Lost.forget(Deadly);
    CHECK_FALSE(Lost.remember(Deadly, run(2, 100)).has_value());
  }
  SUBCASE("are remembered within bounds") {
    for (uint64_t Each = 10000; Each < 20000; ++Each)
      Lost.remember(Each, run(1, 0));
    CHECK(Lost.size() <= 1024);
  }
}
