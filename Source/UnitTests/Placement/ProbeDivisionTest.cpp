#include <algorithm>
#include <deque>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include <doctest/doctest.h>

#include "Placement/ProbePolicy.h"
#include "Placement/TargetSet.h"

using namespace magnolia::placement;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr milliseconds Step{5};
constexpr milliseconds ReportPeriod{500};
constexpr milliseconds WindowLength{2000};
const std::vector<std::string> Domains = {"a", "b", "c"};

/// A service whose requests all run at most once. A third of its targets reset
/// most requests, in episodes of nine seconds. The instances know of each
/// other's requests half a second late, but for the first failure of an
/// episode. Besides, a tenth of the requests fails for another reason.
class unsafe_service {
public:
  static constexpr int Targets = 234;
  static constexpr size_t Instances = 51;
  static constexpr int RequestsPerSecond = 960;

  struct outcome {
    int Reset = 0;
    /// The lowest part of the targets without a failure in a window that got a
    /// request in it.
    double LeastInUse = 1;
  };

  explicit unsafe_service(double PeakFailedFraction) {
    std::vector<probing_instance> Fleet;
    for (size_t Index = 0; Index < Instances; ++Index)
      Fleet.push_back({"i" + std::to_string(Index), Domains[Index % 3]});
    for (const probing_instance &Instance : Fleet) {
      Sets.emplace_back(placement_settings(), Instance.FailureDomain);
      Divisions.emplace_back(Instance.Name, Fleet);
    }
    Inputs.RequestRate = RequestsPerSecond;
    Inputs.PeakFailedFraction = PeakFailedFraction;
    Inputs.Instances = Instances;
    for (int Index = 0; Index < Targets; ++Index)
      addTarget(Index);
  }

  outcome run(seconds Length) {
    for (const boot_time End = Now + Length; Now < End; Now += Step) {
      for (int Count = 0; Count < RequestsPerSecond / 200; ++Count)
        send(static_cast<size_t>(below(Instances)));
      finish();
      const auto Passed = Now - boot_time();
      for (size_t Index = 0; Index < Instances; ++Index)
        if (Passed % ReportPeriod == Step * (Index % 100))
          report(Index);
      if (Passed % milliseconds(250) == milliseconds(0) &&
          Now - Begin >= seconds(6))
        countWindow();
    }
    return Result;
  }

private:
  struct server {
    target_key Key = 0;
    /// Relative to a cycle of nine gray seconds and eighteen healthy ones.
    milliseconds Phase{0};
    boot_time LastRequest;
    boot_time LastFailure;
  };
  struct event {
    size_t Instance = 0;
    target_key Key = 0;
    evidence Evidence = evidence::Succeeded;
    boot_time SentAt;
    boot_time At;
  };

  int below(int Limit) {
    return std::uniform_int_distribution<int>(0, Limit - 1)(Random);
  }

  void addTarget(int Index) {
    target_entry Entry;
    Entry.Id = "t" + std::to_string(Index);
    Entry.Service = "alarms";
    Entry.FailureDomain = Domains[static_cast<size_t>(Index) % 3];
    Entry.Capacity = 4;
    Servers.push_back({keyOf(Entry), milliseconds(below(27000)), {}, {}});
    for (target_set &Set : Sets)
      Set.put(Entry, Now);
  }

  bool isGray(const server &Server) const {
    return (Now - boot_time() + Server.Phase) % seconds(27) < seconds(9);
  }

  void send(size_t Instance) {
    const probe_decision Probing = decideProbing(probe_settings(), Inputs);
    placement_query Query;
    Query.Service = "alarms";
    Query.FailedFraction = 0.12;
    Query.ProbingRate = Probing.ProbingRate;
    Query.MayProbe = Probing.MayProbe;
    Query.Watched = &Divisions[Instance];
    Query.WatchInterval = Probing.WatchInterval;
    const target_ref Target = Sets[Instance].choose(Query, Now, Random);
    server &Server =
        *std::find_if(Servers.begin(), Servers.end(), [&](const server &Each) {
          return Each.Key == Target->Key;
        });
    Target->LastUsed = Now;
    Server.LastRequest = Now;
    if (!isGray(Server) || below(100) >= 85) {
      ++Target->OwnInFlight;
      Running.push_back({Instance, Server.Key, evidence::Succeeded, Now,
                         Now + milliseconds(410)});
      return;
    }
    ++Result.Reset;
    Server.LastFailure = Now;
    observe({Instance, Server.Key, evidence::Broken, Now, Now});
  }

  void finish() {
    while (!Running.empty() && Running.front().At <= Now) {
      const event Ended = Running.front();
      Running.pop_front();
      --Sets[Ended.Instance].find(Ended.Key)->OwnInFlight;
      observe(Ended);
    }
  }

  void observe(const event &Event) {
    target_set &Set = Sets[Event.Instance];
    target &Target = *Set.find(Event.Key);
    const bool WasSuspected = Target.Fleet.probabilityAt(Now) > 0.5;
    Set.observe(Target, Event.Evidence, Event.SentAt, Now);
    if (!WasSuspected && Target.Fleet.probabilityAt(Now) > 0.5)
      tell(Event);
    else
      Unreported[Event.Instance].push_back(Event);
  }

  void tell(const event &Event) {
    for (size_t To = 0; To < Instances; ++To)
      if (To != Event.Instance)
        Sets[To].observePeer(Event.Key, Event.Evidence, Event.SentAt, Now);
  }

  void report(size_t Instance) {
    for (const event &Event : Unreported[Instance])
      tell(Event);
    Unreported[Instance].clear();
  }

  void countWindow() {
    const boot_time Start = Now - WindowLength;
    int Sound = 0;
    int InUse = 0;
    for (const server &Server : Servers) {
      if (Server.LastFailure >= Start)
        continue;
      ++Sound;
      InUse += Server.LastRequest >= Start ? 1 : 0;
    }
    Result.LeastInUse =
        std::min(Result.LeastInUse, static_cast<double>(InUse) / Sound);
  }

  std::mt19937_64 Random{7};
  const boot_time Begin{seconds(1000)};
  boot_time Now = Begin;
  probe_inputs Inputs;
  std::deque<target_set> Sets;
  std::vector<probe_division> Divisions;
  std::vector<server> Servers;
  std::vector<std::vector<event>> Unreported{Instances};
  std::deque<event> Running;
  outcome Result;
};

} // namespace

TEST_CASE("Each target is watched by one instance") {
  const std::vector<probing_instance> Fleet = {
      {"i1", "a"}, {"i2", "a"}, {"i3", "b"}};
  const auto OwnersOf = [&](target_key Key, std::string_view Domain) {
    std::vector<std::string> Owners;
    for (const probing_instance &Each : Fleet)
      if (probe_division(Each.Name, Fleet).owns(Key, Domain))
        Owners.push_back(Each.Name);
    return Owners;
  };

  SUBCASE("of its own failure domain") {
    int First = 0;
    for (target_key Key = 0; Key < 100; ++Key) {
      const auto Owners = OwnersOf(Key, "a");
      REQUIRE(Owners.size() == 1);
      CHECK(Owners[0] != "i3");
      First += Owners[0] == "i1" ? 1 : 0;
      CHECK(OwnersOf(Key, "b") == std::vector<std::string>{"i3"});
    }
    CHECK(First > 30);
    CHECK(First < 70);
  }
  SUBCASE("of another one if no instance is there") {
    CHECK(OwnersOf(5, "c").size() == 1);
  }
  SUBCASE("or by none before the instances are known") {
    CHECK_FALSE(probe_division().owns(5, "a"));
  }
}

TEST_CASE("A service of requests that run at most once, many of which fail") {
  constexpr seconds Length{16};
  const auto Unwatched = unsafe_service(0).run(Length);
  const auto Watched = unsafe_service(0.12).run(Length);

  SUBCASE("leaves a fifth of the usable targets without requests") {
    CHECK(Unwatched.LeastInUse < 0.8);
  }
  SUBCASE("uses more than nine in ten while targets are watched") {
    CHECK(Watched.LeastInUse > 0.9);
  }
  SUBCASE("and loses at most one request for each interval and gray target") {
    const double Intervals = std::chrono::duration<double>(Length) /
                             probe_settings().CostlyWatchInterval;
    const double Probes = unsafe_service::Targets / 3.0 * Intervals;
    CHECK(Watched.Reset <= Unwatched.Reset + Probes);
  }
  MESSAGE("reset ", Unwatched.Reset, " and ", Watched.Reset, ", least in use ",
          Unwatched.LeastInUse, " and ", Watched.LeastInUse);
}
