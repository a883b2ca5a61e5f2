#include "Admission/ShutdownPlan.h"

#include <doctest/doctest.h>

using namespace magnolia::admission;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr size_t Kb = 1000;
constexpr size_t Mb = 1000 * Kb;
/// 200 Mbit/s.
constexpr double Link = 25.0 * Mb;

} // namespace

TEST_CASE("The plan of a graceful shutdown with six seconds of grace") {
  const shutdown_plan Plan({}, Link);

  SUBCASE("accepts all requests at first, then those that end in time") {
    CHECK_FALSE(Plan.refuses(milliseconds(2999), seconds(60)));
    CHECK(Plan.refuses(seconds(3), seconds(6)));
    CHECK_FALSE(Plan.refuses(seconds(3), milliseconds(5800)));
  }
  SUBCASE("keeps requests that block nobody until the exit") {
    CHECK(Plan.endsAllAt() == milliseconds(5850));
    CHECK(Plan.exitsAt() > Plan.endsAllAt());
    CHECK(Plan.exitsAt() < seconds(6));
  }
  SUBCASE("ends a request that blocks a small response just before") {
    const duration At = Plan.endsBlockingAt({1, Kb}, Kb);
    CHECK(At > milliseconds(5500));
    CHECK(At < Plan.endsAllAt() - milliseconds(200));
  }
  SUBCASE("ends it earlier for a larger response") {
    const duration At = Plan.endsBlockingAt({1, 500 * Kb}, 500 * Kb);
    CHECK(At <= Plan.endsAllAt() - milliseconds(500));
    CHECK(At >= seconds(5));
  }
  SUBCASE("ends it earlier if many responses share the link") {
    CHECK(Plan.endsBlockingAt({1, 10 * Kb}, 15 * Mb) <=
          Plan.endsAllAt() - milliseconds(600));
    CHECK(shutdown_plan({}, 0).endsBlockingAt({1, 10 * Kb}, 15 * Mb) >
          milliseconds(5500));
  }
  SUBCASE("ends none while its target may still be expected to respond") {
    CHECK(Plan.endsBlockingAt({40, 500 * Mb}, 900 * Mb) == seconds(5));
  }
}

TEST_CASE("The plan of a graceful shutdown with another grace time") {
  for (const int Millis : {100, 500, 1000, 1500, 60'000}) {
    CAPTURE(Millis);
    shutdown_settings Settings;
    Settings.Grace = milliseconds(Millis);
    const shutdown_plan Plan(Settings, Link);
    CHECK(Plan.endsBlockingAt({1, Kb}, Kb) >= Settings.Grace * 5 / 6);
    CHECK(Plan.endsBlockingAt({1, Kb}, Kb) <= Plan.endsAllAt());
    CHECK(Plan.endsAllAt() < Plan.exitsAt());
    CHECK(Plan.exitsAt() < Settings.Grace);
  }
}
