#include "Fleet/FleetBudgets.h"

#include <algorithm>
#include <array>
#include <deque>
#include <vector>

#include <doctest/doctest.h>

using namespace magnolia::fleet;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_CASE("The budget of extra attempts") {
  budget_settings Settings;
  Settings.Ratio = 0.2;
  Settings.Slack = 20;
  Settings.UsableFraction = 1;
  fleet_budgets Budgets(Settings, boot_time());
  boot_time Now(seconds(100));
  const auto TakeAll = [&](double ReachableFraction) {
    int Taken = 0;
    while (Budgets.tryExtraAttempt(7, {ReachableFraction}, Now).Use.Granted)
      ++Taken;
    return Taken;
  };

  SUBCASE("allows the slack before any request") { CHECK(TakeAll(1) == 20); }
  SUBCASE("grows with the requests of the window") {
    for (int Count = 0; Count < 100; ++Count)
      Budgets.countRequest(7, Now);
    CHECK(TakeAll(1) == 40);

    SUBCASE("and is free again after the window") {
      Now += seconds(11);
      CHECK(TakeAll(1) == 20);
    }
    SUBCASE("but not before") {
      Now += seconds(8);
      CHECK(TakeAll(1) == 0);
    }
  }
  SUBCASE("counts what peers sent") {
    Budgets.chargePeers({7, 100, 30, 0}, Now);
    CHECK(TakeAll(1) == 10);
  }
  SUBCASE("is divided while peers are unreachable") {
    CHECK(TakeAll(0.25) == 5);
  }
  SUBCASE("is kept for each service") {
    CHECK(TakeAll(1) == 20);
    CHECK(Budgets.tryExtraAttempt(8, {}, Now).Use.Granted);
  }
}

TEST_CASE("A service whose targets refuse half of all requests") {
  // Sixteen instances receive 70 requests per second in total and retry each
  // refused request once.
  const budget_settings Settings{0.2, 60, seconds(10), 0.75};
  std::vector<fleet_budgets> Fleet;
  for (uint64_t Instance = 0; Instance < 16; ++Instance)
    Fleet.emplace_back(Settings, boot_time(), Instance);
  const boot_time Start(seconds(100));
  int ExtraAttempts = 0;
  constexpr int Requests = 700;
  for (int Index = 0; Index < Requests; ++Index) {
    const boot_time Now = Start + milliseconds(Index * 14);
    const auto Own = static_cast<size_t>(Index) % Fleet.size();
    Fleet[Own].countRequest(7, Now);
    const bool ExtraAttempt =
        Index % 2 == 0 &&
        Fleet[Own].tryExtraAttempt(7, {1, Fleet.size()}, Now).Use.Granted;
    if (ExtraAttempt)
      ++ExtraAttempts;
    for (size_t Other = 0; Other < Fleet.size(); ++Other)
      if (Other != Own)
        Fleet[Other].chargePeers({7, 1, ExtraAttempt ? 1U : 0U, 0}, Now);
  }
  CHECK(ExtraAttempts <= 0.2 * Requests + 60);
  CHECK(ExtraAttempts > 100);
}

namespace {

/// A fleet whose instances report their totals to each other with a delay,
/// while targets refuse every attempt.
class refused_fleet {
public:
  static constexpr size_t Instances = 43;
  static constexpr int MaxExtraAttempts = 6;
  /// One request is sent in each.
  static constexpr milliseconds Step{2};
  static constexpr milliseconds ReportPeriod{500};
  static constexpr milliseconds Transit{60};

  explicit refused_fleet(const budget_settings &Settings) : Settings(Settings) {
    for (uint64_t Instance = 0; Instance < Instances; ++Instance)
      Fleet.emplace_back(Settings, boot_time(), Instance);
  }

  /// Sends requests for \p Duration; the targets refuse those of the first \p
  /// RefusedAt instances.
  void run(milliseconds Duration, size_t RefusedAt) {
    const boot_time End = Now + Duration;
    for (; Now < End; Now += Step) {
      const size_t Own = NextRequest++ % Instances;
      Fleet[Own].countRequest(Service, Now);
      Requests.push_back(Now);
      if (Own < RefusedAt)
        repeat(Own);
      exchangeTotals();
    }
  }

  /// Whether no window has more extra attempts than the requests allow.
  bool withinBudget() const {
    return std::all_of(Attempts.begin(), Attempts.end(), [&](boot_time First) {
      return static_cast<double>(countIn(Attempts, First)) <=
             Settings.Ratio * static_cast<double>(requestsFor(First)) +
                 Settings.Slack;
    });
  }

  size_t attempts() const { return Attempts.size(); }

private:
  static constexpr uint32_t Service = 7;

  struct report {
    boot_time ArrivesAt;
    size_t From = 0;
    service_total Growth;
  };

  size_t countIn(const std::vector<boot_time> &Times, boot_time First) const {
    const auto Begin = std::lower_bound(Times.begin(), Times.end(), First);
    const auto End =
        std::lower_bound(Times.begin(), Times.end(), First + Settings.Window);
    return static_cast<size_t>(End - Begin);
  }

  /// The requests of the window from \p First on or of the one before it,
  /// whichever are more.
  size_t requestsFor(boot_time First) const {
    return std::max(countIn(Requests, First),
                    countIn(Requests, First - Settings.Window));
  }

  void repeat(size_t Own) {
    for (int Count = 0; Count < MaxExtraAttempts; ++Count) {
      if (!Fleet[Own].tryExtraAttempt(Service, {1, Instances}, Now).Use.Granted)
        return;
      Attempts.push_back(Now);
    }
  }

  void exchangeTotals() {
    for (size_t From = 0; From < Instances; ++From) {
      const auto Phase = milliseconds(From * ReportPeriod.count() / Instances);
      if ((Now.time_since_epoch() - Phase) % ReportPeriod >= Step)
        continue;
      for (const service_total &Total :
           Fleet[From].collectTotals(audience::OtherDomains, false)) {
        service_total &Known = Reported[From];
        Reports.push_back({Now + Transit,
                           From,
                           {Service, Total.Requests - Known.Requests,
                            Total.ExtraAttempts - Known.ExtraAttempts, 0}});
        Known = Total;
      }
    }
    for (; !Reports.empty() && Reports.front().ArrivesAt <= Now;
         Reports.pop_front())
      for (size_t To = 0; To < Instances; ++To)
        if (To != Reports.front().From)
          Fleet[To].chargePeers(Reports.front().Growth, Now);
  }

  const budget_settings Settings;
  std::vector<fleet_budgets> Fleet;
  std::array<service_total, Instances> Reported{};
  std::deque<report> Reports;
  std::vector<boot_time> Requests;
  std::vector<boot_time> Attempts;
  size_t NextRequest = 0;
  boot_time Now{seconds(100)};
};

} // namespace

TEST_CASE("All targets of a service refuse at the same moment") {
  const budget_settings Settings{0.2, 184, seconds(10), 0.75};
  refused_fleet Fleet(Settings);
  Fleet.run(seconds(10), 0);
  REQUIRE(Fleet.attempts() == 0);

  SUBCASE("at all instances, and the fleet stays within its budget") {
    Fleet.run(seconds(15), refused_fleet::Instances);
    CHECK(Fleet.withinBudget());
    // And uses most of it: the bound is 1,184 in ten seconds.
    CHECK(Fleet.attempts() > 1200);
  }
  SUBCASE("again after they took requests for a while") {
    for (int Count = 0; Count < 4; ++Count) {
      Fleet.run(seconds(1), refused_fleet::Instances);
      Fleet.run(seconds(4), 0);
    }
    CHECK(Fleet.withinBudget());
  }
  SUBCASE("at one instance, which repeats most of its requests") {
    Fleet.run(seconds(4), 1);
    CHECK(Fleet.withinBudget());
    // It gets 12 requests a second.
    CHECK(Fleet.attempts() > 40);
  }
}

TEST_CASE("A fleet that restarts within a window") {
  // All targets fail; in the middle of the run every instance restarts without
  // knowing the earlier attempts.
  const budget_settings Settings{0.2, 60, seconds(10), 0.75};
  const boot_time Start(seconds(100));
  const boot_time Restart = Start + seconds(5);
  constexpr int Requests = 370;
  int ExtraAttempts = 0;
  const auto Run = [&](fleet_budgets &Instance, int First, int End) {
    for (int Index = First; Index < End; ++Index) {
      const boot_time Now = Start + milliseconds(Index * 27);
      Instance.countRequest(7, Now);
      while (Instance.tryExtraAttempt(7, {}, Now).Use.Granted)
        ++ExtraAttempts;
    }
  };
  fleet_budgets Before(Settings, Start - seconds(60));
  fleet_budgets After(Settings, Restart);
  Run(Before, 0, Requests / 2);
  Run(After, Requests / 2, Requests);
  CHECK(ExtraAttempts <= 0.2 * Requests + 60);

  SUBCASE("uses the whole slack again after it") {
    const boot_time Later = Restart + seconds(21);
    int Taken = 0;
    while (After.tryExtraAttempt(7, {}, Later).Use.Granted)
      ++Taken;
    CHECK(Taken == 45);
  }
}

TEST_CASE("The statistics of a service") {
  fleet_budgets Budgets{budget_settings(), boot_time()};
  const boot_time Now(seconds(100));
  for (int Count = 0; Count < 60; ++Count)
    Budgets.countRequest(7, Now);
  for (int Count = 0; Count < 4; ++Count)
    Budgets.countFailed(7, Now);
  Budgets.chargePeers({7, 40, 0, 16}, Now);
  CHECK(Budgets.statsOf(7, Now).Rate == doctest::Approx(50));
  CHECK(Budgets.statsOf(7, Now).FailedFraction == doctest::Approx(0.2));
  CHECK(Budgets.statsOf(7, Now + seconds(3)).Rate == 0);
  CHECK(Budgets.statsOf(8, Now).FailedFraction == 0);
}

TEST_CASE("The highest failed fraction of a service in the last seconds") {
  fleet_budgets Budgets{budget_settings(), boot_time()};
  boot_time Now(seconds(100));
  const auto SendFor = [&](seconds Length, int Requests, int Failures) {
    for (const boot_time End = Now + Length; Now < End; Now += seconds(1)) {
      for (int Count = 0; Count < Requests; ++Count)
        Budgets.countRequest(7, Now);
      for (int Count = 0; Count < Failures; ++Count)
        Budgets.countFailed(7, Now);
    }
  };
  const auto RefuseMany = [&](bool TargetsWatched) {
    for (int Count = 0; Count < 40; ++Count)
      Budgets.countRefused(7, TargetsWatched, Now);
  };
  const auto Peak = [&] { return Budgets.statsOf(7, Now).PeakFailedFraction; };
  SendFor(seconds(2), 50, 30);
  SendFor(seconds(4), 50, 10);
  SendFor(seconds(2), 50, 1);

  SUBCASE("is remembered for some seconds") {
    CHECK(Peak() == doctest::Approx(0.2));
    SendFor(seconds(3), 50, 1);
    CHECK(Peak() == doctest::Approx(0.2));
    CHECK(Budgets.statsOf(7, Now).FailedFraction < 0.05);
  }
  SUBCASE("and forgotten after") {
    SendFor(seconds(8), 50, 1);
    CHECK(Peak() == doctest::Approx(0.02));
  }
  SUBCASE("counts what this instance refused before sending it") {
    RefuseMany(true);
    CHECK(Peak() == doctest::Approx(0.3));
    CHECK(Budgets.statsOf(7, Now).FailedFraction < 0.05);
  }
  SUBCASE("counts it as failed while no targets are watched") {
    RefuseMany(false);
    CHECK(Budgets.statsOf(7, Now).FailedFraction == doctest::Approx(0.82));
    RefuseMany(false);
    const auto Totals = Budgets.collectTotals(audience::SameDomain, true);
    CHECK(Totals.at(0).Failed == 182);
  }
  SUBCASE("does not count the failures of a few requests") {
    SendFor(seconds(12), 3, 2);
    CHECK(Peak() == 0);
  }
}
