#include <algorithm>
#include <random>
#include <string>
#include <vector>

#include <doctest/doctest.h>

#include "Fleet/FleetBudgets.h"
#include "Placement/ProbePolicy.h"
#include "Placement/TargetSet.h"

using namespace magnolia;
using namespace magnolia::placement;
using fleet::fleet_budgets;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// The repeatable requests of a service, a third of whose targets reset most of
/// them for some seconds and then recover. Of all requests, some fail for
/// another reason, so that targets are probed early.
class reset_service {
public:
  static constexpr int Targets = 138;
  static constexpr int RequestsPerSecond = 264;
  static constexpr size_t MaxAttempts = 2;
  static constexpr int FailPercentOtherwise = 12;

  struct outcome {
    int Requests = 0;
    /// All attempts of the request were reset.
    int Lost = 0;
    /// Two-second windows of targets that were healthy for the whole window
    /// and the two seconds before, and those among them without a request.
    int HealthyWindows = 0;
    int HealthyUnused = 0;
  };

  reset_service() {
    for (int Index = 0; Index < Targets; ++Index) {
      target_entry Entry;
      Entry.Id = "t" + std::to_string(Index);
      Entry.Service = Service;
      Entry.FailureDomain = "a";
      Entry.Capacity = 4;
      Set.put(Entry, Now);
      const bool Gray = Index % 3 == 0;
      States.push_back({Set.find(Entry.Id), Gray, Now, Now + periodOf(Gray)});
    }
  }

  outcome run(seconds Length) {
    const duration Gap =
        std::chrono::duration_cast<duration>(seconds(1)) / RequestsPerSecond;
    boot_time NextWindow = Now + seconds(2);
    for (const boot_time End = Now + Length; Now < End; Now += Gap) {
      for (state &State : States)
        if (Now >= State.NextChange)
          State = {State.Target, !State.Gray, Now, Now + periodOf(!State.Gray)};
      sendRequest();
      if (Now >= NextWindow) {
        countWindow();
        NextWindow += seconds(2);
      }
    }
    return Result;
  }

private:
  static constexpr const char *Service = "listings";
  static constexpr uint32_t ServiceKey = 7;

  struct state {
    target_ref Target;
    bool Gray = false;
    boot_time Since;
    boot_time NextChange;
  };

  duration periodOf(bool Gray) {
    std::exponential_distribution<double> Seconds(Gray ? 1.0 / 6 : 1.0 / 12);
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(2 + Seconds(Random)));
  }

  target_ref choose(const std::vector<target_key> &Tried) {
    const auto Stats = Budgets.statsOf(ServiceKey, Now);
    const auto Budget = Budgets.stateOf(ServiceKey, {}, Now);
    const probe_decision Probing =
        decideProbing({}, {.RequestRate = Stats.Rate,
                           .RepeatableFraction = 1,
                           .BudgetPerSecond = Budget.PerSecond,
                           .BudgetUsed = Budget.UsedFraction,
                           .Repeatable = true,
                           .AttemptsLeft = MaxAttempts - Tried.size()});
    placement_query Query;
    Query.Service = Service;
    Query.Repeatable = true;
    Query.Tried = Tried;
    Query.FailedFraction = Stats.FailedFraction;
    Query.ProbingRate = Probing.ProbingRate;
    Query.MayProbe = Probing.MayProbe;
    Query.EarlyProbeRate = Probing.EarlyProbeRate;
    return Set.choose(Query, Now, Random);
  }

  bool succeeds(const target &Target) {
    const state &State =
        *std::find_if(States.begin(), States.end(), [&](const state &Each) {
          return Each.Target.get() == &Target;
        });
    return !State.Gray || percent() >= 80;
  }

  int percent() { return std::uniform_int_distribution<int>(0, 99)(Random); }

  void sendRequest() {
    ++Result.Requests;
    Budgets.countRequest(ServiceKey, Now);
    if (percent() < FailPercentOtherwise)
      Budgets.countFailed(ServiceKey, Now);
    std::vector<target_key> Tried;
    while (Tried.size() < MaxAttempts) {
      if (!Tried.empty() &&
          !Budgets.tryExtraAttempt(ServiceKey, {}, Now).Use.Granted)
        break;
      const target_ref Target = choose(Tried);
      Tried.push_back(Target->Key);
      Target->LastUsed = Now;
      const bool Succeeds = succeeds(*Target);
      Set.observe(*Target, Succeeds ? evidence::Succeeded : evidence::Broken,
                  Now, Now);
      if (Succeeds)
        return;
    }
    ++Result.Lost;
    Budgets.countFailed(ServiceKey, Now);
  }

  void countWindow() {
    for (const state &State : States) {
      if (State.Gray || Now - State.Since < seconds(4))
        continue;
      ++Result.HealthyWindows;
      Result.HealthyUnused += Now - State.Target->LastUsed > seconds(2) ? 1 : 0;
    }
  }

  std::mt19937_64 Random{5};
  boot_time Now{seconds(1000)};
  target_set Set{placement_settings(), "a"};
  fleet_budgets Budgets{{0.2, 184, seconds(10), 0.75}, boot_time()};
  std::vector<state> States;
  outcome Result;
};

} // namespace

TEST_CASE("Probes of gray targets leave the budget to requests that fail") {
  reset_service Service;
  const reset_service::outcome Result = Service.run(seconds(60));

  SUBCASE("so that one in a hundred is lost at most") {
    CHECK(Result.Lost <= Result.Requests / 100);
  }
  SUBCASE("and seven in ten healthy targets are in use all the while") {
    REQUIRE(Result.HealthyWindows > 500);
    CHECK(Result.HealthyUnused <= Result.HealthyWindows * 3 / 10);
  }
  MESSAGE("lost ", Result.Lost, " of ", Result.Requests, ", unused ",
          Result.HealthyUnused, " of ", Result.HealthyWindows);
}
