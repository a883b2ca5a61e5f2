#include <doctest/doctest.h>

#include "ScenarioTests/Callers.h"

using namespace magnolia::scenario;

namespace {

constexpr int BusyThreads = 24;
constexpr int QuietThreads = 2;

/// Requests of the quiet workspace that are waited for.
constexpr size_t QuietRequests = 150;

caller_group callersOf(const fleet &Fleet, const std::string &Secret,
                       int Threads) {
  call Call;
  Call.Path = "/lookup/x";
  Call.Secret = Secret;
  return caller_group(Threads, [Address = Fleet.callers("i1"), Call](int, int) {
    return std::make_pair(Address, Call);
  });
}

} // namespace

TEST_CASE("A busy workspace does not starve a quiet one of the slots") {
  // Two slots and work of 20 ms: far less than both ask for.
  fleet_plan Plan;
  Plan.Instances = 1;
  Plan.Targets = 2;
  Plan.Slots = 1;
  Plan.WorkTime = "20ms";
  Plan.Workspaces = "  - {name: busy, rate: 5000, burst: 2000}\n"
                    "  - {name: quiet, rate: 5000, burst: 2000}\n";
  fleet Fleet(Plan);
  Fleet.applyManifest();
  const std::string Busy = Fleet.issueKey("busy", "busy-1");
  const std::string Quiet = Fleet.issueKey("quiet", "quiet-1");

  Fleet.awaitSharesSettled();
  const caller_group BusyCallers = callersOf(Fleet, Busy, BusyThreads);
  CHECK(await([&] { return BusyCallers.count(200) > 50; }));
  const size_t BusyBefore = BusyCallers.count(200);
  caller_group QuietCallers = callersOf(Fleet, Quiet, QuietThreads);
  CHECK(await([&] { return QuietCallers.count(200) >= QuietRequests; }));
  const size_t BusyMeanwhile = BusyCallers.count(200) - BusyBefore;

  // The fair share is one half; its two callers cannot always have a request
  // waiting, so they need not get all of it. First come, first served would
  // give them two of 26.
  CHECK(BusyMeanwhile <= 3 * QuietRequests);
  for (const exchange &Each : QuietCallers.stop()) {
    CAPTURE(Each.Result.Body);
    CHECK(Each.Result.ok());
  }
}
