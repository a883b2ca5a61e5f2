#include <absl/strings/str_cat.h>
#include <doctest/doctest.h>

#include "ScenarioTests/Callers.h"

using namespace magnolia::scenario;

namespace {

constexpr int Threads = 6;

call lookup(const std::string &Secret) {
  call Call;
  Call.Path = "/lookup/x";
  Call.Secret = Secret;
  return Call;
}

bool directoryNames(const fleet &Fleet, const std::string &Asked,
                    const std::string &Instance) {
  call Call;
  Call.Path = "/.magnolia/directory";
  const call_result Result = send(Fleet.callers(Asked), Call);
  return Result.Body.find(Fleet.callers(Instance)) != std::string::npos;
}

} // namespace

TEST_CASE("A planned stop of an instance cuts off no request") {
  // Long enough that every call below falls into the time for which callers may
  // keep an answer, also on a busy machine.
  fleet Fleet({.ExtraSettings = "directory:\n  keep: 10s\n"});
  Fleet.applyManifest();
  const std::string Secret = Fleet.issueKey("hunters", "hunters-1");
  Fleet.awaitSharesSettled();
  for (const char *Target : {"t1", "t2", "t3"})
    Fleet.setTarget(Target, "/admin/mode",
                    R"({"mode": "slow", "delay_ms": 100})");
  // Callers that keep the directory's answer go on to use the instance.
  caller_group Keeping(Threads, [&](int, int) {
    return std::make_pair(Fleet.callers("i2"), lookup(Secret));
  });
  CHECK(await([&] { return Keeping.count(200) > 10; }));

  process &Leaving = Fleet.instanceProcess("i2");
  Leaving.signal(SIGTERM);
  CHECK(await([&] {
    return !directoryNames(Fleet, "i1", "i2") &&
           !directoryNames(Fleet, "i3", "i2");
  }));
  // As long as kept answers last, every one of them is served.
  const size_t Before = Keeping.count(200);
  CHECK(await([&] { return Keeping.count(200) > Before; }));
  const auto Exchanges = Keeping.stop();
  for (const exchange &Each : Exchanges) {
    CAPTURE(Each.Result.Status);
    CAPTURE(Each.Result.Body);
    CHECK(Each.Result.ok());
  }
  CHECK(Leaving.wait() == 0);
  CHECK(Fleet.logOf("i2").find("every request is finished") !=
        std::string::npos);
}

TEST_CASE("A leaving target gets no new work") {
  fleet_plan Plan;
  Plan.BreakableLinks = true;
  fleet Fleet(Plan);
  Fleet.applyManifest();
  const std::string Secret = Fleet.issueKey("hunters", "hunters-1");
  const auto AtTarget = [&](const std::string &Target) {
    size_t Count = 0;
    for (const target_run &Run : Fleet.runs())
      Count += Run.Target == Target && Run.Path == "/lookup/x" ? 1 : 0;
    return Count;
  };
  const auto SendTo = [&](const std::string &Instance, int Times) {
    for (int Time = 0; Time < Times; ++Time)
      send(Fleet.callers(Instance), lookup(Secret));
  };
  SendTo("i1", 20);
  SendTo("i2", 20);

  SUBCASE("once its answers say that it drains, on instances that it told "
          "nothing") {
    Fleet.setTarget("t1", "/admin/drain");
    // Only i1 sends until it has met the mark.
    CHECK(await([&] {
      const size_t Before = AtTarget("t1");
      SendTo("i1", 9);
      return AtTarget("t1") == Before;
    }));
    // i2 knows by its peer alone.
    CHECK(await([&] {
      const size_t Before = AtTarget("t1");
      SendTo("i2", 9);
      return AtTarget("t1") == Before;
    }));
  }

  SUBCASE("once the manifest says so") {
    std::string Manifest = Fleet.manifest();
    const std::string Name = "{name: t2, ";
    Manifest.insert(Manifest.find(Name) + Name.size(), "draining: true, ");
    CHECK(Fleet
              .control({"apply", Fleet.write("drain.yaml", Manifest), "--wait",
                        "60s"})
              .ExitCode == 0);
    const size_t Before = AtTarget("t2");
    SendTo("i1", 20);
    SendTo("i2", 20);
    CHECK(AtTarget("t2") == Before);
  }
}
