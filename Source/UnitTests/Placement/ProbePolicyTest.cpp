#include "Placement/ProbePolicy.h"

#include <doctest/doctest.h>

using namespace magnolia::placement;

TEST_CASE("Which requests probe targets") {
  const probe_settings Settings;
  probe_inputs Request;
  Request.RequestRate = 40;
  Request.RepeatableFraction = 0.5;
  Request.BudgetPerSecond = 8;
  Request.Repeatable = true;
  Request.AttemptsLeft = 2;
  const auto Decide = [&] { return decideProbing(Settings, Request); };

  SUBCASE("the repeatable ones, if there are enough") {
    CHECK(Decide().MayProbe);
    CHECK(Decide().EarlyProbeRate == 2);
    CHECK(Decide().ProbingRate == 20);
    Request.Repeatable = false;
    CHECK_FALSE(Decide().MayProbe);
  }
  SUBCASE("all, if there are few") {
    Request.RepeatableFraction = 0.05;
    Request.Repeatable = false;
    CHECK(Decide().MayProbe);
    CHECK(Decide().EarlyProbeRate == 0);
    CHECK(Decide().ProbingRate == 40);
  }
  SUBCASE("not with the last attempt") {
    Request.AttemptsLeft = 1;
    CHECK_FALSE(Decide().MayProbe);
  }
  SUBCASE("early only while some of the budget is left") {
    Request.BudgetUsed = 0.95;
    CHECK(Decide().MayProbe);
    CHECK(Decide().EarlyProbeRate == 0);
  }
  SUBCASE("and which keep targets in use that nothing was sent to") {
    CHECK_FALSE(Decide().WatchInterval);
    Request.PeakFailedFraction = 0.12;
    Request.Instances = 50;
    CHECK(Decide().WatchInterval == Settings.WatchInterval);
    Request.PeakFailedFraction = 0.04;
    CHECK(Decide().WatchInterval == Settings.WatchInterval);

    SUBCASE("not by one that would be lost while fewer than a tenth fail") {
      Request.Repeatable = false;
      CHECK_FALSE(Decide().WatchInterval);
    }
    SUBCASE("later if the request would be lost") {
      Request.PeakFailedFraction = 0.12;
      Request.AttemptsLeft = 1;
      CHECK(Decide().WatchInterval == Settings.CostlyWatchInterval);
      Request.AttemptsLeft = 2;
      Request.BudgetUsed = 1;
      CHECK(Decide().WatchInterval == Settings.CostlyWatchInterval);
    }
    SUBCASE("not among few instances, whose probes hardly meet") {
      Request.Instances = 16;
      CHECK_FALSE(Decide().WatchInterval);
      CHECK_FALSE(watchesTargets(Settings, 23));
      CHECK(watchesTargets(Settings, 24));
    }
    SUBCASE("not with a retry") {
      Request.FirstAttempt = false;
      CHECK_FALSE(Decide().WatchInterval);
    }
  }
}
