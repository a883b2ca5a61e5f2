#include <algorithm>
#include <deque>
#include <random>

#include <doctest/doctest.h>

#include "Placement/TargetSet.h"

using namespace magnolia::placement;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr milliseconds Step{5};
constexpr milliseconds ReportPeriod{250};
constexpr uint32_t Slots = 4;

/// How targets turn gray; at any time three in ten of them are.
enum class gray_pattern {
  /// Chosen at random for each target every ten seconds.
  Independent,
  /// Gray for seven seconds, shorter than the prior expects, then healthy for
  /// sixteen seconds.
  Periodic,
};

/// Counts of a simulation.
struct outcome {
  int Requests = 0;
  int Broken = 0;
  /// Periods for which a target was gray: ten seconds each, or seven with
  /// gray_pattern::Periodic.
  int Episodes = 0;
  /// Windows of two seconds in which a target that had been healthy for more
  /// than ten seconds got no request, and all windows of such targets.
  int HealthyUnused = 0;
  int HealthyWindows = 0;
};

/// Simulates a fleet that sends requests to the targets of one service, in
/// steps of simulated time. Gray targets reset most requests. Instances report
/// failures to each other at once, and requests in flight and successes every
/// quarter second.
class fleet_simulation {
public:
  fleet_simulation(const placement_settings &Settings, size_t Instances,
                   size_t Targets, double RequestsPerSecond,
                   gray_pattern Pattern)
      : Rate(RequestsPerSecond), Pattern(Pattern), Servers(Targets) {
    for (size_t Index = 0; Index < Instances; ++Index)
      TargetSets.emplace_back(Settings, "Trnava");
    for (size_t Index = 0; Index < Targets; ++Index) {
      target_entry Entry;
      Entry.Id = "t" + std::to_string(Index);
      Entry.Service = "orders";
      Entry.FailureDomain = "Trnava";
      Entry.Capacity = Slots;
      Entry.StartedUnixMs = 1;
      Servers[Index].Id = Entry.Id;
      Servers[Index].Key = keyOf(Entry);
      Servers[Index].NextChange = Now + milliseconds(randomBelow(10000));
      for (target_set &TargetSet : TargetSets)
        TargetSet.put(Entry, Now);
    }
  }

  outcome run(seconds Length) {
    const boot_time End = Now + Length;
    while (Now < End) {
      Now += Step;
      updateStates();
      finishWork();
      std::poisson_distribution<int> Arrivals(
          Rate * std::chrono::duration<double>(Step).count());
      for (int Count = Arrivals(Random); Count > 0; --Count)
        send(static_cast<size_t>(
            randomBelow(static_cast<int>(TargetSets.size()))));
      if ((Now - boot_time()) % ReportPeriod == Step * 0)
        sendReports();
      if ((Now - boot_time()) % seconds(2) == Step * 0)
        countUnused();
    }
    return Result;
  }

private:
  struct job {
    size_t Instance = 0;
    boot_time SentAt;
    duration Work{};
    boot_time EndsAt;
  };
  struct server {
    std::string Id;
    target_key Key = 0;
    bool Gray = false;
    boot_time HealthySince;
    boot_time NextChange;
    std::vector<job> Running;
    std::deque<job> Waiting;
    int RecentRequests = 0;
  };
  struct report {
    size_t Instance = 0;
    target_key Key = 0;
    boot_time SentAt;
  };

  bool nextIsGray(const server &Server) {
    return Pattern == gray_pattern::Periodic ? !Server.Gray
                                             : randomBelow(10) < 3;
  }

  duration stateDuration(const server &Server) const {
    if (Pattern == gray_pattern::Independent)
      return seconds(10);
    return Server.Gray ? seconds(7) : seconds(16);
  }

  int randomBelow(int Below) {
    return std::uniform_int_distribution<int>(0, Below - 1)(Random);
  }

  void updateStates() {
    for (server &Server : Servers) {
      if (Now < Server.NextChange)
        continue;
      const bool WasGray = Server.Gray;
      Server.Gray = nextIsGray(Server);
      if (WasGray && !Server.Gray)
        Server.HealthySince = Now;
      Result.Episodes += Server.Gray ? 1 : 0;
      Server.NextChange = Now + stateDuration(Server);
    }
  }

  void send(size_t Instance) {
    ++Result.Requests;
    placement_query Query;
    Query.Service = "orders";
    Query.Rate = Rate;
    Query.FailedFraction = 0.04;
    target_set &TargetSet = TargetSets[Instance];
    const target_ref Target = TargetSet.choose(Query, Now, Random);
    server &Server =
        *std::find_if(Servers.begin(), Servers.end(), [&](const server &Each) {
          return Each.Key == Target->Key;
        });
    ++Server.RecentRequests;
    Target->LastUsed = Now;
    if (Server.Gray && randomBelow(100) < 80) {
      ++Result.Broken;
      TargetSet.observe(*Target, evidence::Broken, Now, Now);
      for (target_set &Other : TargetSets)
        if (&Other != &TargetSet)
          Other.observePeer(Target->Key, evidence::Broken, Now, Now);
      return;
    }
    ++Target->OwnInFlight;
    std::exponential_distribution<double> WorkSeconds(1 / 0.32);
    const auto Work = std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(WorkSeconds(Random)));
    Server.Waiting.push_back({Instance, Now, Work, {}});
    startWork(Server);
  }

  void startWork(server &Server) {
    while (Server.Running.size() < Slots && !Server.Waiting.empty()) {
      job Job = Server.Waiting.front();
      Server.Waiting.pop_front();
      Job.EndsAt = Now + Job.Work;
      Server.Running.push_back(Job);
    }
  }

  void finishWork() {
    for (server &Server : Servers) {
      std::erase_if(Server.Running, [&](const job &Job) {
        if (Job.EndsAt > Now)
          return false;
        target_set &TargetSet = TargetSets[Job.Instance];
        const target_ref Target = TargetSet.find(Server.Id);
        --Target->OwnInFlight;
        TargetSet.observe(*Target, evidence::Succeeded, Job.SentAt, Now);
        Unreported.push_back({Job.Instance, Server.Key, Job.SentAt});
        return true;
      });
      startWork(Server);
    }
  }

  void sendReports() {
    for (size_t From = 0; From < TargetSets.size(); ++From) {
      const auto InFlight = TargetSets[From].ownInFlight();
      for (size_t To = 0; To < TargetSets.size(); ++To) {
        if (To == From)
          continue;
        TargetSets[To].setPeerInFlight(From + 1, InFlight, Now);
        for (const report &Good : Unreported)
          if (Good.Instance == From)
            TargetSets[To].observePeer(Good.Key, evidence::Succeeded,
                                       Good.SentAt, Now);
      }
    }
    Unreported.clear();
  }

  void countUnused() {
    for (server &Server : Servers) {
      if (!Server.Gray && Now - Server.HealthySince > seconds(10)) {
        ++Result.HealthyWindows;
        Result.HealthyUnused += Server.RecentRequests == 0 ? 1 : 0;
      }
      Server.RecentRequests = 0;
    }
  }

  const double Rate;
  const gray_pattern Pattern;
  std::mt19937_64 Random{11};
  boot_time Now{seconds(1000)};
  std::deque<target_set> TargetSets;
  std::vector<server> Servers;
  std::vector<report> Unreported;
  outcome Result;
};

/// Settings that leave healthy targets without requests: load concentrates on
/// the targets with the most recent success, and other targets are not probed.
placement_settings baselineSettings() {
  placement_settings Settings;
  Settings.FleetEstimator = {0.15, milliseconds(2500)};
  Settings.BusyUtilization = 0.7;
  Settings.BusyCost = 0.5;
  Settings.CostTemperature = 0.02;
  Settings.ProbeInterval = seconds(1000);
  return Settings;
}

double fraction(int Part, int Total) {
  return static_cast<double>(Part) / std::max(Total, 1);
}

} // namespace

TEST_CASE("A large fleet with targets that turn gray and recover") {
  // A third of all slots, and half of those of healthy targets, are in use.
  const auto Simulate = [](const placement_settings &Settings,
                           gray_pattern Pattern) {
    return fleet_simulation(Settings, 12, 36, 150, Pattern).run(seconds(40));
  };
  const outcome Baseline =
      Simulate(baselineSettings(), gray_pattern::Independent);
  const outcome Current =
      Simulate(placement_settings(), gray_pattern::Independent);
  REQUIRE(Current.HealthyWindows > 100);
  REQUIRE(Current.Episodes > 20);

  SUBCASE("loses at most two requests per gray period") {
    CHECK(Current.Broken <= 2 * Current.Episodes);
  }
  SUBCASE("leaves nearly no healthy target without requests") {
    // At least seven in ten healthy targets must be in use at any time.
    CHECK(fraction(Current.HealthyUnused, Current.HealthyWindows) <
          fraction(Baseline.HealthyUnused, Baseline.HealthyWindows) / 4);
    CHECK(fraction(Current.HealthyUnused, Current.HealthyWindows) < 0.1);
  }
  SUBCASE("learns how long targets stay gray and uses them again afterwards") {
    const outcome Periodic =
        Simulate(placement_settings(), gray_pattern::Periodic);
    REQUIRE(Periodic.Episodes > 40);
    CHECK(Periodic.Broken <= 2 * Periodic.Episodes);
  }
}
