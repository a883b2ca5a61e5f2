#include <algorithm>

#include <doctest/doctest.h>

#include "UnitTests/Quota/FakeFleet.h"

using namespace magnolia;
using namespace magnolia::quota;
using namespace magnolia::quota::testing;

namespace {

constexpr uint64_t SeedCount = 8;
constexpr duration RunLength = std::chrono::seconds(15);
constexpr double SlowRate = 20;
constexpr double SlowBurst = 3;
constexpr double FastRate = 300;
constexpr double FastBurst = 40;
constexpr double BurstyRate = 10;
constexpr double BurstyBurst = 40;

/// Sends several times the rate, to random instances or to one that changes.
void overload(fake_fleet &Fleet) {
  const auto Pick = [&] {
    const bool Skewed = (Fleet.now() / milliseconds(700)) % 2 == 0;
    const auto Fixed = static_cast<size_t>(Fleet.now() / milliseconds(1400));
    return (Skewed ? Fixed : Fleet.random()()) % Fleet.size();
  };
  if (Fleet.chance(0.2))
    Fleet.request(Pick(), "slow");
  if (Fleet.chance(0.1))
    Fleet.request(Pick(), "bursty");
  for (int Count = 0; Count < 2; ++Count)
    Fleet.request(Pick(), "fast");
}

std::vector<contract::workspace> workspaces(double Factor) {
  return {{"slow", SlowRate * Factor, SlowBurst * Factor},
          {"fast", FastRate * Factor, FastBurst * Factor},
          {"bursty", BurstyRate * Factor, BurstyBurst * Factor}};
}

void startAll(fake_fleet &Fleet) {
  Fleet.setWorkspaces(workspaces(1));
  for (size_t Index = 0; Index < Fleet.size(); ++Index)
    Fleet.start(Index);
}

/// Runs with \p Event at random times, a dozen per second, and checks in every
/// tick that no slot is used twice.
void runWithEvents(fake_fleet &Fleet, duration Length,
                   const std::function<void(size_t Index)> &Event) {
  uint32_t MostSlots = 0;
  Fleet.run(Length, [&] {
    overload(Fleet);
    if (Fleet.chance(0.012))
      Event(Fleet.random()() % Fleet.size());
    MostSlots = std::max({MostSlots, Fleet.slotsInUse(0), Fleet.slotsInUse(1)});
  });
  CHECK(MostSlots <= 2);
}

void crashOrRestart(fake_fleet &Fleet, size_t Index) {
  if (!Fleet.at(Index).Running)
    Fleet.start(Index);
  else if (Fleet.chance(0.5))
    Fleet.crash(Index);
  else
    Fleet.stop(Index);
}

fleet_options shortLeases() {
  fleet_options Options;
  Options.LeaseTerm = milliseconds(600);
  Options.RenewPeriod = milliseconds(100);
  Options.RefreshPeriod = milliseconds(20);
  Options.LoanTerm = milliseconds(200);
  return Options;
}

void toggleTable(fake_fleet &Fleet, size_t Index) {
  Fleet.at(Index).TableDown = !Fleet.at(Index).TableDown;
}

void cutOrRestoreLinks(fake_fleet &Fleet, size_t Index) {
  if (Fleet.Cuts.size() > 3)
    Fleet.Cuts.clear();
  else
    Fleet.Cuts.emplace_back(Index, Fleet.random()() % Fleet.size());
}

} // namespace

TEST_CASE("A fleet admits at most burst + rate * window, over every window") {
  fleet_options Options;
  std::function<void(fake_fleet &, size_t Index)> Event = [](fake_fleet &,
                                                             size_t) {};

  SUBCASE("with lost, late and duplicated messages") {
    Options.Lost = 0.1;
    Options.Late = 0.1;
    Options.Duplicated = 0.2;
  }

  SUBCASE("with crashes, graceful shutdowns and restarts") {
    Event = crashOrRestart;
  }

  SUBCASE("with graceful shutdowns while loans run long") {
    Options.LoanTerm = milliseconds(2000);
    Options.RefreshPeriod = milliseconds(50);
    Event = [](fake_fleet &Fleet, size_t Index) {
      if (!Fleet.at(Index).Running)
        Fleet.start(Index);
      else if (Fleet.chance(0.3))
        Fleet.stop(Index);
    };
  }

  SUBCASE("with instances cut off from the table until their leases end") {
    Options = shortLeases();
    Event = toggleTable;
  }

  SUBCASE("with renewals that succeed while the scan after them fails") {
    Options = shortLeases();
    Options.TableRefused = 0.3;
    Event = toggleTable;
  }

  SUBCASE("with processes suspended for longer than their leases") {
    Options.LeaseTerm = milliseconds(700);
    Options.RenewPeriod = milliseconds(100);
    Event = [](fake_fleet &Fleet, size_t Index) {
      fake_instance &Instance = Fleet.at(Index);
      Instance.Suspended = !Instance.Suspended && Fleet.chance(0.3);
    };
  }

  SUBCASE("with links cut in one direction and table outages") {
    Options.LeaseTerm = milliseconds(900);
    Options.RenewPeriod = milliseconds(300);
    Options.TableRefused = 0.3;
    Options.ReplyLost = 0.2;
    Event = cutOrRestoreLinks;
  }

  SUBCASE("while rates change, up to the larger of the two") {
    Event = [](fake_fleet &Fleet, size_t Index) {
      Fleet.setWorkspaces(workspaces(Index % 2 == 0 ? 1 : 0.3));
    };
  }

  SUBCASE("with all of these together") {
    Options.Lost = 0.05;
    Options.Late = 0.1;
    Options.Duplicated = 0.1;
    Options.TableRefused = 0.1;
    Options.ReplyLost = 0.1;
    Options.LeaseTerm = milliseconds(1200);
    Event = [](fake_fleet &Fleet, size_t Index) {
      const uint64_t Kind = Fleet.random()() % 4;
      if (Kind == 0)
        crashOrRestart(Fleet, Index);
      else if (Kind == 1)
        cutOrRestoreLinks(Fleet, Index);
      else
        Fleet.at(Index).Suspended = !Fleet.at(Index).Suspended;
    };
  }

  for (uint64_t Seed = 1; Seed <= SeedCount; ++Seed) {
    CAPTURE(Seed);
    Options.Seed = Seed;
    fake_fleet Fleet(Options);
    startAll(Fleet);
    runWithEvents(Fleet, RunLength, [&](size_t Index) { Event(Fleet, Index); });
    CHECK(Fleet.written("fast").size() > 0);
    CHECK(Fleet.worstExcess("slow", SlowRate, SlowBurst) <= 0);
    CHECK(Fleet.worstExcess("fast", FastRate, FastBurst) <= 0);
    CHECK(Fleet.worstExcess("bursty", BurstyRate, BurstyBurst) <= 0);
  }
}

TEST_CASE("A fleet whose clocks run fast") {
  fleet_options Options;
  Options.Instances = 1;
  bool DriftKnown = true;
  SUBCASE("keeps the bound if the drift is configured") {}
  SUBCASE("breaks it if no drift is configured") { DriftKnown = false; }
  if (!DriftKnown)
    Options.ClockDrift = 0;
  fake_fleet Fleet(Options);
  for (size_t Index = 0; Index < Fleet.size(); ++Index)
    Fleet.at(Index).Speed = 1 + Options.TrueDrift;
  startAll(Fleet);
  Fleet.run(RunLength, [&] { overload(Fleet); });
  CHECK((Fleet.worstExcess("fast", FastRate, FastBurst) <= 0) == DriftKnown);
}

TEST_CASE("A fleet without faults uses most of the rate") {
  fake_fleet Fleet(fleet_options{});
  startAll(Fleet);
  Fleet.run(RunLength, [&] { overload(Fleet); });
  const double Earned =
      FastRate * std::chrono::duration<double>(RunLength).count();
  CHECK(static_cast<double>(Fleet.written("fast").size()) > 0.8 * Earned);
}
