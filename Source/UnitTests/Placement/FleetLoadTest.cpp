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
enum class gray_times {
  /// Chosen at random for each target every ten seconds.
  Independent,
  /// Gray for seven seconds, shorter than the prior expects, then healthy for
  /// sixteen seconds.
  Periodic,
};

/// What gray targets do with most requests.
enum class gray_response {
  Reset,
  /// They accept them and never respond.
  Hang,
};

/// Response times of requests that hang, and when they count as stalled: at a
/// fraction of a latency objective of 600 ms.
constexpr milliseconds Deadline{2000};
constexpr milliseconds StalledAt{600};
constexpr milliseconds StalledAtIfHanging{360};
constexpr milliseconds AcceptedAt{60};

/// Counts of a simulation.
struct outcome {
  int Requests = 0;
  /// Requests that a gray target reset or did not respond to.
  int Broken = 0;
  /// Those of them that were sent to a target that hangs before the first one
  /// to it could count as stalled.
  int Unavoidable = 0;
  /// Periods for which a target was gray: ten seconds each, or seven with
  /// gray_times::Periodic.
  int Episodes = 0;
  /// Windows of two seconds in which a target that had been healthy for more
  /// than ten seconds got no request, and all windows of such targets.
  int HealthyUnused = 0;
  int HealthyWindows = 0;
};

/// Simulates a fleet that sends requests to the targets of one service, in
/// steps of simulated time. Gray targets fail most requests. Instances report
/// failures to each other at once, and requests in flight and successes every
/// quarter second.
class fleet_simulation {
public:
  fleet_simulation(const placement_settings &Settings, size_t Instances,
                   size_t Targets, double RequestsPerSecond, gray_times Times,
                   gray_response Response = gray_response::Reset)
      : Rate(RequestsPerSecond), Times(Times), Response(Response),
        Servers(Targets) {
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
      watchRequests();
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
    /// When the first request of this gray period was sent that hangs.
    boot_time FirstHungAt;
    boot_time NextChange;
    std::vector<job> Running;
    std::deque<job> Waiting;
    int RecentRequests = 0;
  };
  struct report {
    size_t Instance = 0;
    target_key Key = 0;
    boot_time SentAt;
    evidence Evidence = evidence::Succeeded;
  };
  /// A request without a response so far.
  struct open_request {
    size_t Instance = 0;
    std::string Target;
    boot_time SentAt;
    duration Work{};
    bool Hangs = false;
    bool Accepted = false;
    bool Stalled = false;
  };

  bool nextIsGray(const server &Server) {
    return Times == gray_times::Periodic ? !Server.Gray : randomBelow(10) < 3;
  }

  duration stateDuration(const server &Server) const {
    if (Times == gray_times::Independent)
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
      if (!WasGray)
        Server.FirstHungAt = boot_time();
      Result.Episodes += Server.Gray ? 1 : 0;
      Server.NextChange = Now + stateDuration(Server);
    }
  }

  void send(size_t Instance) {
    ++Result.Requests;
    placement_query Query;
    Query.Service = "orders";
    Query.ProbingRate = Rate;
    Query.FailedFraction = 0.04;
    target_set &TargetSet = TargetSets[Instance];
    const target_ref Target = TargetSet.choose(Query, Now, Random);
    server &Server =
        *std::find_if(Servers.begin(), Servers.end(), [&](const server &Each) {
          return Each.Key == Target->Key;
        });
    ++Server.RecentRequests;
    Target->LastUsed = Now;
    if (Response == gray_response::Hang) {
      sendToHanging(Instance, Server, *Target);
      return;
    }
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

  /// Slots do not matter here: the load is low.
  void sendToHanging(size_t Instance, server &Server, target &Target) {
    ++Target.OwnInFlight;
    std::lognormal_distribution<double> WorkSeconds(-1.69, 0.5);
    open_request Request;
    Request.Instance = Instance;
    Request.Target = Server.Id;
    Request.SentAt = Now;
    Request.Work = std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(WorkSeconds(Random)));
    Request.Hangs = Server.Gray && randomBelow(100) < 75;
    if (Request.Hangs) {
      ++Result.Broken;
      if (Server.FirstHungAt == boot_time())
        Server.FirstHungAt = Now;
      if (Now - Server.FirstHungAt <= StalledAtIfHanging)
        ++Result.Unavoidable;
    }
    OpenRequests.push_back(Request);
  }

  /// Reports a failure at once and other evidence with the next report.
  void observe(const open_request &Request, evidence Evidence) {
    target &Target = *TargetSets[Request.Instance].find(Request.Target);
    TargetSets[Request.Instance].observe(Target, Evidence, Request.SentAt, Now);
    const report Report{Request.Instance, Target.Key, Request.SentAt, Evidence};
    if (Evidence != evidence::Stalled)
      Unreported.push_back(Report);
    else
      tellOthers(Report);
  }

  void tellOthers(const report &Report) {
    for (size_t To = 0; To < TargetSets.size(); ++To)
      if (To != Report.Instance)
        TargetSets[To].observePeer(Report.Key, Report.Evidence, Report.SentAt,
                                   Now);
  }

  void watchRequests() {
    std::erase_if(OpenRequests, [&](open_request &Request) {
      target_set &TargetSet = TargetSets[Request.Instance];
      const duration Age = Now - Request.SentAt;
      const bool Responds = !Request.Hangs && Age >= Request.Work;
      if (Responds || Age >= Deadline) {
        --TargetSet.find(Request.Target)->OwnInFlight;
        const evidence Success =
            Request.Stalled ? evidence::SucceededLate : evidence::Succeeded;
        observe(Request, Responds ? Success : evidence::TimedOut);
        return true;
      }
      if (!Request.Accepted && Age >= AcceptedAt) {
        Request.Accepted = true;
        observe(Request, evidence::Accepted);
      }
      const milliseconds StallTime =
          TargetSet.targetsHang() ? StalledAtIfHanging : StalledAt;
      if (!Request.Stalled && Age >= StallTime) {
        Request.Stalled = true;
        observe(Request, evidence::Stalled);
      }
      return false;
    });
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
        Unreported.push_back(
            {Job.Instance, Server.Key, Job.SentAt, evidence::Succeeded});
        return true;
      });
      startWork(Server);
    }
  }

  void sendReports() {
    for (size_t From = 0; From < TargetSets.size(); ++From) {
      const auto InFlight = TargetSets[From].ownInFlight();
      for (size_t To = 0; To < TargetSets.size(); ++To)
        if (To != From)
          TargetSets[To].setPeerInFlight(From + 1, InFlight, Now);
    }
    for (const report &Report : Unreported)
      tellOthers(Report);
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
  const gray_times Times;
  const gray_response Response;
  std::mt19937_64 Random{11};
  boot_time Now{seconds(1000)};
  std::deque<target_set> TargetSets;
  std::vector<server> Servers;
  std::vector<report> Unreported;
  std::vector<open_request> OpenRequests;
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
                           gray_times Times) {
    return fleet_simulation(Settings, 12, 36, 150, Times).run(seconds(40));
  };
  const outcome Baseline =
      Simulate(baselineSettings(), gray_times::Independent);
  const outcome Current =
      Simulate(placement_settings(), gray_times::Independent);
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
        Simulate(placement_settings(), gray_times::Periodic);
    REQUIRE(Periodic.Episodes > 40);
    CHECK(Periodic.Broken <= 2 * Periodic.Episodes);
  }
}

TEST_CASE(
    "A large fleet whose gray targets accept requests and never respond") {
  fleet_simulation Fleet(placement_settings(), 12, 36, 150,
                         gray_times::Independent, gray_response::Hang);
  // The fleet learns in the first seconds how its targets fail.
  const outcome Learning = Fleet.run(seconds(10));
  const outcome Total = Fleet.run(seconds(60));
  const int Episodes = Total.Episodes - Learning.Episodes;
  const int Lost = Total.Broken - Learning.Broken;
  const int Unavoidable = Total.Unavoidable - Learning.Unavoidable;
  REQUIRE(Episodes > 20);

  SUBCASE("loses at most one per gray period once the first has stalled") {
    CHECK(Lost <= Unavoidable + Episodes);
  }
}
