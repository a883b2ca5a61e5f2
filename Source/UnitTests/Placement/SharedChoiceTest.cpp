#include <algorithm>
#include <array>
#include <deque>
#include <random>

#include <doctest/doctest.h>

#include "Placement/TargetSet.h"

using namespace magnolia::placement;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr size_t InstanceCount = 166;
constexpr size_t TargetCount = 165;
constexpr uint32_t Slots = 2;
constexpr size_t QueueLength = 8;
constexpr milliseconds Step{5};
constexpr milliseconds ReportPeriod{500};
constexpr double MeanWorkSeconds = 0.12;
constexpr size_t MaxSends = 4;
const std::array<std::string, 3> Domains = {"Trnava", "Nitra", "Senica"};

/// What targets say of their load.
enum class telling { Nothing, Truth, AlwaysIdle, AlwaysFull };

struct counts {
  int Requests = 0;
  int Arrivals = 0;
  int TurnedAway = 0;
  int Lost = 0;
  /// Requests that waited for a slot of their target.
  int Queued = 0;
  /// Windows of two seconds in which a target that had been sound for longer
  /// got no request, and all windows of such targets.
  int Unused = 0;
  int Windows = 0;
  /// The most arrivals at one target between two reports.
  int MostInPeriod = 0;

  double turnedAway() const { return 1.0 * TurnedAway / Arrivals; }
  double lost() const { return 1.0 * Lost / Requests; }
  double queued() const { return 1.0 * Queued / Requests; }
};

/// Many instances and targets of few slots. At any time three in ten targets
/// are gray: they reset most requests, for about nine seconds. Instances report
/// failures at once and the rest twice a second.
class crowded_fleet {
public:
  crowded_fleet(double Load, telling Telling)
      : Rate(Load * TargetCount * Slots / MeanWorkSeconds), Telling(Telling) {
    std::array<std::vector<std::string>, Domains.size()> Names;
    for (size_t Index = 0; Index < InstanceCount; ++Index)
      Names.at(Index % Domains.size()).push_back("i" + std::to_string(Index));
    for (std::vector<std::string> &Each : Names)
      std::sort(Each.begin(), Each.end());
    for (size_t Index = 0; Index < InstanceCount; ++Index)
      Instances.emplace_back(placement_settings(),
                             Domains.at(Index % Domains.size()));
    for (size_t Index = 0; Index < TargetCount; ++Index) {
      target_entry Entry;
      Entry.Id = "t" + std::to_string(Index);
      Entry.Service = "orders";
      Entry.FailureDomain = Domains.at(Index % Domains.size());
      Entry.Capacity = Slots;
      Entry.StartedUnixMs = 1;
      Servers.push_back({keyOf(Entry), randomBelow(10) < 3, Now,
                         Now + milliseconds(randomBelow(9000))});
      for (target_set &Instance : Instances)
        Instance.put(Entry, Now);
    }
    for (size_t Index = 0; Index < InstanceCount; ++Index)
      Instances[Index].setMembers({"i" + std::to_string(Index),
                                   Names.at(Index % Domains.size()),
                                   InstanceCount});
  }

  counts run(seconds Length) {
    const boot_time End = Now + Length;
    while (Now < End) {
      Now += Step;
      changeStates();
      for (server &Server : Servers)
        finishWork(Server);
      std::poisson_distribution<int> Arrivals(
          Rate * std::chrono::duration<double>(Step).count());
      for (int Count = Arrivals(Random); Count > 0; --Count)
        begin(static_cast<size_t>(randomBelow(InstanceCount)));
      if ((Now - boot_time()) % ReportPeriod == Step * 0)
        report();
      if ((Now - boot_time()) % seconds(2) == Step * 0)
        countUnused();
    }
    return Counts;
  }

private:
  struct job {
    size_t Instance = 0;
    boot_time SentAt;
    boot_time EndsAt;
  };
  struct server {
    target_key Key = 0;
    bool Gray = false;
    boot_time Since;
    boot_time NextChange;
    std::vector<job> Running = {};
    std::deque<job> Waiting = {};
    int InWindow = 0;
    int InPeriod = 0;
  };
  struct success {
    size_t Instance = 0;
    target_key Key = 0;
    boot_time SentAt;
  };

  int randomBelow(int Below) {
    return std::uniform_int_distribution<int>(0, Below - 1)(Random);
  }

  void changeStates() {
    for (server &Server : Servers) {
      if (Now < Server.NextChange)
        continue;
      const bool Gray = randomBelow(10) < 3;
      if (Gray != Server.Gray)
        Server.Since = Now;
      Server.Gray = Gray;
      Server.NextChange = Now + seconds(9);
    }
  }

  server &serverOf(target_key Key) {
    return *std::find_if(
        Servers.begin(), Servers.end(),
        [&](const server &Server) { return Server.Key == Key; });
  }

  void begin(size_t Instance) {
    ++Counts.Requests;
    std::vector<target_key> Tried;
    while (Tried.size() < MaxSends) {
      placement_query Query;
      Query.Service = "orders";
      Query.Tried = Tried;
      Query.ProbingRate = Rate;
      Query.FailedFraction = 0.04;
      const target_ref Target = Instances[Instance].choose(Query, Now, Random);
      Tried.push_back(Target->Key);
      if (send(Instance, *Target))
        return;
    }
    ++Counts.Lost;
  }

  /// False if the target refused the request.
  bool send(size_t Instance, target &Target) {
    server &Server = serverOf(Target.Key);
    ++Counts.Arrivals;
    ++Server.InWindow;
    ++Server.InPeriod;
    Target.LastUsed = Now;
    if (Server.Gray && randomBelow(100) < 85) {
      ++Counts.Lost;
      Instances[Instance].observe(Target, evidence::Broken, Now, Now);
      for (target_set &Other : Instances)
        if (&Other != &Instances[Instance])
          Other.observePeer(Target.Key, evidence::Broken, Now, Now);
      return true;
    }
    ++Target.OwnInFlight;
    if (Server.Waiting.size() >= QueueLength) {
      ++Counts.TurnedAway;
      Instances[Instance].observe(Target, evidence::Refused, Now, Now);
      respond(Instance, Server, Target);
      return false;
    }
    Counts.Queued += Server.Running.size() == Slots ? 1 : 0;
    Server.Waiting.push_back({Instance, Now, {}});
    startWork(Server);
    return true;
  }

  void respond(size_t Instance, const server &Server, target &Target) {
    const auto Running = static_cast<uint32_t>(Server.Running.size());
    const auto Waiting = static_cast<uint32_t>(Server.Waiting.size());
    std::optional<told_load> Load = told_load{Running, Waiting, Slots};
    if (Telling == telling::Nothing)
      Load = std::nullopt;
    if (Telling == telling::AlwaysIdle)
      Load = told_load{0, 0, Slots};
    if (Telling == telling::AlwaysFull)
      Load = told_load{Slots, QueueLength, Slots};
    Instances[Instance].tellLoad(Target, Load, Now);
    --Target.OwnInFlight;
  }

  void startWork(server &Server) {
    while (Server.Running.size() < Slots && !Server.Waiting.empty()) {
      job Job = Server.Waiting.front();
      Server.Waiting.pop_front();
      std::lognormal_distribution<double> Work(-2.245, 0.5);
      Job.EndsAt = Now + std::chrono::duration_cast<duration>(
                             std::chrono::duration<double>(Work(Random)));
      Server.Running.push_back(Job);
    }
  }

  void finishWork(server &Server) {
    for (size_t Index = 0; Index < Server.Running.size();) {
      const job Job = Server.Running[Index];
      if (Job.EndsAt > Now) {
        ++Index;
        continue;
      }
      target &Target = *Instances[Job.Instance].find(Server.Key);
      respond(Job.Instance, Server, Target);
      Instances[Job.Instance].observe(Target, evidence::Succeeded, Job.SentAt,
                                      Now);
      Successes.push_back({Job.Instance, Server.Key, Job.SentAt});
      Server.Running.erase(Server.Running.begin() +
                           static_cast<std::ptrdiff_t>(Index));
    }
    startWork(Server);
  }

  void report() {
    for (size_t From = 0; From < Instances.size(); ++From) {
      const auto InFlight = Instances[From].ownInFlight();
      for (size_t To = 0; To < Instances.size(); ++To)
        if (To != From)
          Instances[To].setPeerInFlight(From + 1, InFlight, Now);
    }
    for (const success &Success : Successes)
      for (size_t To = 0; To < Instances.size(); ++To)
        if (To != Success.Instance)
          Instances[To].observePeer(Success.Key, evidence::Succeeded,
                                    Success.SentAt, Now);
    Successes.clear();
    for (server &Server : Servers)
      Counts.MostInPeriod =
          std::max(Counts.MostInPeriod, std::exchange(Server.InPeriod, 0));
  }

  void countUnused() {
    for (server &Server : Servers) {
      if (!Server.Gray && Now - Server.Since > seconds(5)) {
        ++Counts.Windows;
        Counts.Unused += Server.InWindow == 0 ? 1 : 0;
      }
      Server.InWindow = 0;
    }
  }

  const double Rate;
  const telling Telling;
  std::mt19937_64 Random{7};
  boot_time Now{seconds(1000)};
  std::deque<target_set> Instances;
  std::vector<server> Servers;
  std::vector<success> Successes;
  counts Counts;
};

counts simulate(double Load, telling Telling) {
  return crowded_fleet(Load, Telling).run(seconds(12));
}

} // namespace

TEST_CASE("Many instances share targets of two slots, a third of them gray") {
  SUBCASE("with three tenths of all slots in use") {
    const counts Before = simulate(0.3, telling::Nothing);
    const counts Now = simulate(0.3, telling::Truth);
    CHECK(Now.turnedAway() < 0.003);
    CHECK(Now.queued() < Before.queued() / 2);
    CHECK(Now.lost() < Before.lost() * 1.2);
    CHECK(Now.MostInPeriod < Before.MostInPeriod);
    CHECK(Now.Unused < Now.Windows / 10);
  }
  SUBCASE("with half of them in use, which is most of what sound ones have") {
    const counts Before = simulate(0.45, telling::Nothing);
    const counts Now = simulate(0.45, telling::Truth);
    CHECK(Before.turnedAway() > 0.3);
    CHECK(Now.turnedAway() < 0.03);
    CHECK(Now.lost() < Before.lost() / 3);
    CHECK(Now.MostInPeriod < Before.MostInPeriod / 3);
  }
  SUBCASE("with six tenths, nearly all that the usable ones have") {
    const counts Before = simulate(0.6, telling::Nothing);
    const counts Now = simulate(0.6, telling::Truth);
    CHECK(Before.turnedAway() > 0.5);
    CHECK(Now.turnedAway() < Before.turnedAway() / 2);
    CHECK(Now.lost() < Before.lost() / 3);
    CHECK(Now.MostInPeriod < Before.MostInPeriod / 2);
  }
  SUBCASE("that tell that they are idle, or full, whatever they are") {
    for (const telling Lie : {telling::AlwaysIdle, telling::AlwaysFull}) {
      const counts Before = simulate(0.45, telling::Nothing);
      const counts Now = simulate(0.45, Lie);
      CHECK(Now.turnedAway() < Before.turnedAway() / 3);
      CHECK(Now.lost() < Before.lost());
      CHECK(Now.Unused < Now.Windows / 10);
    }
  }
}
