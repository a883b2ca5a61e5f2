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
constexpr milliseconds NewsPeriod{250};
constexpr uint32_t Slots = 4;

/// How targets turn gray, at any time three in ten of them.
enum class gray_pattern {
  /// Drawn anew for each target every ten seconds.
  Drawn,
  /// For seven seconds each, shorter than is expected, and sound for sixteen
  /// seconds in between.
  InTurn,
};

/// How the requests of a replay fared.
struct outcome {
  int Requests = 0;
  int Broken = 0;
  /// Ten seconds for which a target was gray.
  int Episodes = 0;
  /// Targets that got nothing in two seconds though they were sound all the
  /// while and for some seconds before.
  int SoundUnused = 0;
  int SoundWindows = 0;
};

/// A fleet before the targets of one service, in steps of simulated time. Gray
/// targets reset most requests. Bad news is told at once, what is in
/// flight and which targets did well every quarter second.
class replay {
public:
  replay(const placement_settings &Settings, size_t Instances, size_t Targets,
         double RequestsPerSecond, gray_pattern Pattern)
      : Rate(RequestsPerSecond), Pattern(Pattern), Servers(Targets) {
    for (size_t Index = 0; Index < Instances; ++Index)
      Boards.emplace_back(Settings, "Trnava");
    for (size_t Index = 0; Index < Targets; ++Index) {
      target_entry Entry;
      Entry.Id = "t" + std::to_string(Index);
      Entry.Service = "orders";
      Entry.FailureDomain = "Trnava";
      Entry.Capacity = Slots;
      Entry.StartedUnixMs = 1;
      Servers[Index].Id = Entry.Id;
      Servers[Index].Key = keyOf(Entry);
      Servers[Index].NextDraw = Now + milliseconds(drawn(10000));
      for (target_set &Board : Boards)
        Board.put(Entry, Now);
    }
  }

  outcome run(seconds Length) {
    const boot_time End = Now + Length;
    while (Now < End) {
      Now += Step;
      redraw();
      finishWork();
      std::poisson_distribution<int> Arrivals(
          Rate * std::chrono::duration<double>(Step).count());
      for (int Count = Arrivals(Random); Count > 0; --Count)
        send(static_cast<size_t>(drawn(static_cast<int>(Boards.size()))));
      if ((Now - boot_time()) % NewsPeriod == Step * 0)
        tellNews();
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
    boot_time SoundSince;
    boot_time NextDraw;
    std::vector<job> Running;
    std::deque<job> Waiting;
    int Recent = 0;
  };
  struct news {
    size_t Instance = 0;
    target_key Key = 0;
    boot_time SentAt;
  };

  bool grayNext(const server &Server) {
    return Pattern == gray_pattern::InTurn ? !Server.Gray : drawn(10) < 3;
  }

  duration timeIn(const server &Server) const {
    if (Pattern == gray_pattern::Drawn)
      return seconds(10);
    return Server.Gray ? seconds(7) : seconds(16);
  }

  int drawn(int Below) {
    return std::uniform_int_distribution<int>(0, Below - 1)(Random);
  }

  void redraw() {
    for (server &Server : Servers) {
      if (Now < Server.NextDraw)
        continue;
      const bool Was = Server.Gray;
      Server.Gray = grayNext(Server);
      if (Was && !Server.Gray)
        Server.SoundSince = Now;
      Result.Episodes += Server.Gray ? 1 : 0;
      Server.NextDraw = Now + timeIn(Server);
    }
  }

  void send(size_t Instance) {
    ++Result.Requests;
    placement_query Query;
    Query.Service = "orders";
    Query.Rate = Rate;
    Query.FailedFraction = 0.04;
    target_set &Board = Boards[Instance];
    const target_ref Target = Board.choose(Query, Now, Random);
    server &Server =
        *std::find_if(Servers.begin(), Servers.end(), [&](const server &Each) {
          return Each.Key == Target->Key;
        });
    ++Server.Recent;
    Target->LastUsed = Now;
    if (Server.Gray && drawn(100) < 80) {
      ++Result.Broken;
      Board.observe(*Target, evidence::Broken, Now, Now);
      for (target_set &Other : Boards)
        if (&Other != &Board)
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
        target_set &Board = Boards[Job.Instance];
        const target_ref Target = Board.find(Server.Id);
        --Target->OwnInFlight;
        Board.observe(*Target, evidence::Succeeded, Job.SentAt, Now);
        Untold.push_back({Job.Instance, Server.Key, Job.SentAt});
        return true;
      });
      startWork(Server);
    }
  }

  void tellNews() {
    for (size_t From = 0; From < Boards.size(); ++From) {
      const auto InFlight = Boards[From].ownInFlight();
      for (size_t To = 0; To < Boards.size(); ++To) {
        if (To == From)
          continue;
        Boards[To].setPeerInFlight(From + 1, InFlight, Now);
        for (const news &Good : Untold)
          if (Good.Instance == From)
            Boards[To].observePeer(Good.Key, evidence::Succeeded, Good.SentAt,
                                   Now);
      }
    }
    Untold.clear();
  }

  void countUnused() {
    for (server &Server : Servers) {
      if (!Server.Gray && Now - Server.SoundSince > seconds(10)) {
        ++Result.SoundWindows;
        Result.SoundUnused += Server.Recent == 0 ? 1 : 0;
      }
      Server.Recent = 0;
    }
  }

  const double Rate;
  const gray_pattern Pattern;
  std::mt19937_64 Random{11};
  boot_time Now{seconds(1000)};
  std::deque<target_set> Boards;
  std::vector<server> Servers;
  std::vector<news> Untold;
  outcome Result;
};

/// What stood before: load gathered on the newest proof, and nothing tested the
/// other targets.
placement_settings settingsBefore() {
  placement_settings Settings;
  Settings.Belief = {0.15, milliseconds(2500)};
  Settings.BusyFrom = 0.7;
  Settings.Busy = 0.5;
  Settings.Indifference = 0.02;
  Settings.TestEvery = seconds(1000);
  return Settings;
}

double share(int Part, int Whole) {
  return static_cast<double>(Part) / std::max(Whole, 1);
}

} // namespace

TEST_CASE("A large fleet before targets that turn gray and recover") {
  // A third of all slots, and half of those of sound targets, are in use.
  const auto Play = [](const placement_settings &Settings,
                       gray_pattern Pattern) {
    return replay(Settings, 12, 36, 150, Pattern).run(seconds(40));
  };
  const outcome Before = Play(settingsBefore(), gray_pattern::Drawn);
  const outcome After = Play(placement_settings(), gray_pattern::Drawn);
  REQUIRE(After.SoundWindows > 100);
  REQUIRE(After.Episodes > 20);

  SUBCASE("loses at most two requests for each ten seconds of a gray one") {
    CHECK(After.Broken <= 2 * After.Episodes);
  }
  SUBCASE("leaves nearly no sound target without requests") {
    // The users want seven in ten of them in use at any time.
    CHECK(share(After.SoundUnused, After.SoundWindows) <
          share(Before.SoundUnused, Before.SoundWindows) / 4);
    CHECK(share(After.SoundUnused, After.SoundWindows) < 0.1);
  }
  SUBCASE("learns how long targets stay gray and asks them again after it") {
    const outcome InTurn = Play(placement_settings(), gray_pattern::InTurn);
    REQUIRE(InTurn.Episodes > 40);
    CHECK(InTurn.Broken <= 2 * InTurn.Episodes);
  }
}
