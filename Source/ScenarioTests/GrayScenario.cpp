#include <set>

#include <absl/strings/str_cat.h>
#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include "ScenarioTests/Callers.h"

using namespace magnolia::scenario;

namespace {

constexpr int Threads = 9;

/// The standing of each target as \p Instance sees it.
std::map<std::string, std::string> standings(const fleet &Fleet,
                                             const std::string &Instance) {
  call Call;
  Call.Path = "/status";
  const auto Json =
      nlohmann::json::parse(send(Fleet.admin(Instance), Call).Body);
  std::map<std::string, std::string> Standings;
  for (const auto &Target : Json.at("targets"))
    Standings[Target.at("target")] = Target.at("standing");
  return Standings;
}

bool isUnused(const std::string &Standing) {
  return Standing == "avoided" || Standing == "ejected";
}

caller_group steadyCallers(const fleet &Fleet, const std::string &Secret) {
  return caller_group(Threads, [&Fleet, Secret](int Thread, int) {
    call Call;
    Call.Path = "/lookup/x";
    Call.Secret = Secret;
    const std::string Instance = absl::StrCat("i", Thread % 3 + 1);
    return std::make_pair(Fleet.callers(Instance), Call);
  });
}

} // namespace

TEST_CASE("Callers of a service with gray targets") {
  fleet_plan Plan;
  Plan.Targets = 6;
  Plan.WorkTime = "10ms";
  Plan.BreakableLinks = true;
  Plan.RouteTimeout = "2s";
  Plan.ExtraSettings = "targets:\n  profile: fast_detection\n";
  fleet Fleet(Plan);
  Fleet.applyManifest();
  const std::string Secret = Fleet.issueKey("hunters", "hunters-1");
  const caller_group Callers = steadyCallers(Fleet, Secret);
  CHECK(await([&] { return Callers.count(200) > 300; }));

  const auto SeenBy = [&](const std::string &Instance,
                          const std::string &Target) {
    return isUnused(standings(Fleet, Instance)[Target]);
  };
  const auto SeenByAll = [&](const std::string &Target) {
    return SeenBy("i1", Target) && SeenBy("i2", Target) && SeenBy("i3", Target);
  };

  SUBCASE("are kept from one that is slow, until it is well again") {
    Fleet.setTarget("t1", "/admin/mode",
                    R"({"mode": "slow", "delay_ms": 300})");
    CHECK(await([&] { return SeenByAll("t1"); }));
    Fleet.setTarget("t1", "/admin/mode", R"({"mode": "none"})");
    CHECK(await([&] { return standings(Fleet, "i1")["t1"] == "healthy"; }));
  }

  SUBCASE("are kept from one that answers half") {
    Fleet.setTarget("t2", "/admin/mode", R"({"mode": "half_answer"})");
    CHECK(await([&] { return SeenByAll("t2"); }));
  }

  SUBCASE("are kept from one that is cut off in one direction") {
    Fleet.setLink("target-t3", R"({"cut_down": true})");
    CHECK(await([&] { return SeenByAll("t3"); }));
  }

  SUBCASE("keep the floor of a service that is slow as a whole") {
    for (int Index = 1; Index <= Plan.Targets; ++Index)
      Fleet.setTarget(absl::StrCat("t", Index), "/admin/mode",
                      R"({"mode": "slow", "delay_ms": 60})");
    const size_t Before = Callers.count(200);
    CHECK(await([&] {
      // All instances together use at least the floor at any time.
      std::set<std::string> Unused;
      for (const std::string &Instance : Fleet.instances())
        for (const auto &[Target, Standing] : standings(Fleet, Instance))
          if (Standing == "ejected")
            Unused.insert(Target);
      CHECK(Unused.size() <= 3);
      return Callers.count(200) > Before + 500;
    }));
  }
}
