#include "Admission/RankThreshold.h"

#include <algorithm>
#include <deque>
#include <random>
#include <utility>
#include <vector>

#include <doctest/doctest.h>

using namespace magnolia;
using namespace magnolia::admission;
using std::chrono::milliseconds;

namespace {

constexpr size_t InstanceCount = 166;
constexpr size_t TargetCount = 165;
constexpr size_t SlotsPerTarget = 2;
constexpr milliseconds SlotTime{100};
constexpr milliseconds ReportAge{500};

common::boot_time at(milliseconds Time) {
  return common::boot_time(std::chrono::seconds(100) + Time);
}

/// Requests of one rank.
struct kind {
  size_t Asked = 0;
  size_t Admitted = 0;
  size_t Served = 0;

  double servedFraction() const {
    return static_cast<double>(Served) / static_cast<double>(Asked);
  }
};

/// What happened in one millisecond.
struct moment {
  double Taken = 0;
  double Refused = 0;
  std::vector<double> Asked;
  uint32_t InUse = 0;
};

/// Instances that send to random targets, and know what happens in the fleet
/// when it is half a second old. A refused request is sent to another target
/// twice.
class fleet_model {
public:
  explicit fleet_model(const threshold_settings &Settings = {})
      : Instances(InstanceCount, rank_threshold(Settings)) {}

  /// Lets \p Rates, in requests per second by rank, arrive for \p Length.
  std::vector<kind> run(const std::vector<double> &Rates, milliseconds Length) {
    std::vector<kind> Kinds(Rates.size());
    for (const milliseconds End = Now + Length; Now < End;
         Now += milliseconds(1)) {
      endRuns();
      History.push_back({0, 0, std::vector<double>(Rates.size(), 0.0), InUse});
      for (size_t Rank = 0; Rank < Rates.size(); ++Rank) {
        std::poisson_distribution<int> Arrivals(Rates[Rank] / 1000);
        for (int Count = Arrivals(Random); Count > 0; --Count)
          arrive(Rank, Kinds[Rank]);
      }
      History.back().InUse = InUse;
      if (Now.count() % 20 == 0)
        report();
    }
    return Kinds;
  }

  /// How often an instance became short or had room again.
  size_t changes() const { return Changes; }

  bool isShort() const {
    return std::any_of(Instances.begin(), Instances.end(),
                       [](const auto &Each) { return Each.isShort(); });
  }

private:
  void arrive(size_t Rank, kind &Kind) {
    ++Kind.Asked;
    History.back().Asked[Rank] += 1;
    const rank_threshold &Instance = Instances[Random() % InstanceCount];
    std::uniform_real_distribution<double> Drawn(0, 1);
    if (Drawn(Random) >= Instance.shareOf(Rank))
      return;
    ++Kind.Admitted;
    for (int Sends = 0; Sends < 3; ++Sends) {
      size_t &Running = Targets[Random() % TargetCount];
      if (Running < SlotsPerTarget) {
        ++Running;
        ++InUse;
        Runs.push_back({Now + SlotTime, &Running});
        ++Kind.Served;
        return;
      }
      History.back().Refused += 1;
    }
  }

  void endRuns() {
    while (!Runs.empty() && Runs.front().first <= Now) {
      --*Runs.front().second;
      --InUse;
      Runs.pop_front();
      Taken += 1;
    }
    if (!History.empty())
      History.back().Taken += std::exchange(Taken, 0);
  }

  /// Tells the instances what was so when the reports were written.
  void report() {
    const auto Age = static_cast<size_t>(ReportAge.count());
    if (History.size() < 2 * Age)
      return;
    service_load Load;
    Load.SlotTime = SlotTime;
    Load.Slots = TargetCount * SlotsPerTarget;
    const size_t End = History.size() - Age / 2;
    Load.FreeSlots = Load.Slots - History[End].InUse;
    Load.Demand.assign(History.back().Asked.size(), 0);
    for (size_t Index = End - Age; Index < End; ++Index) {
      Load.TakenPerSecond += 2 * History[Index].Taken;
      Load.RefusedPerSecond += 2 * History[Index].Refused;
      for (size_t Rank = 0; Rank < Load.Demand.size(); ++Rank)
        if (Rank < History[Index].Asked.size())
          Load.Demand[Rank] += 2 * History[Index].Asked[Rank];
    }
    const bool WasShort = isShort();
    for (rank_threshold &Instance : Instances)
      Instance.update(Load, at(Now));
    Changes += WasShort == isShort() ? 0 : 1;
  }

  std::mt19937_64 Random{7};
  milliseconds Now{0};
  std::vector<rank_threshold> Instances;
  std::vector<size_t> Targets = std::vector<size_t>(TargetCount, 0);
  std::deque<std::pair<milliseconds, size_t *>> Runs;
  std::deque<moment> History;
  double Taken = 0;
  uint32_t InUse = 0;
  size_t Changes = 0;
};

/// Settings of a service that never counts as short.
threshold_settings withoutShortage() {
  threshold_settings Settings;
  Settings.UsedUpFraction = -1;
  Settings.RefusedFraction = 2;
  return Settings;
}

size_t servedOf(const std::vector<kind> &Kinds) {
  return Kinds[0].Served + Kinds[1].Served;
}

service_load usedUp(std::vector<double> Demand) {
  service_load Load;
  Load.Slots = 330;
  Load.TakenPerSecond = 400;
  Load.SlotTime = milliseconds(330);
  Load.Demand = std::move(Demand);
  return Load;
}

} // namespace

TEST_CASE("The shares of the ranks while a service is short") {
  rank_threshold Threshold;

  SUBCASE("the most urgent rank gets all that it asks for") {
    Threshold.update(usedUp({600, 1400}), at(milliseconds(0)));
    CHECK(Threshold.isShort());
    CHECK(Threshold.shareOf(0) == doctest::Approx(1));
    CHECK(Threshold.shareOf(1) == doctest::Approx(400.0 / 1400));
  }
  SUBCASE("but for the guaranteed part of lesser ranks") {
    Threshold.update(usedUp({2000, 500, 500}), at(milliseconds(0)));
    CHECK(Threshold.shareOf(0) == doctest::Approx(900.0 / 2000));
    CHECK(Threshold.shareOf(1) == doctest::Approx(50.0 / 500));
    CHECK(Threshold.shareOf(2) == doctest::Approx(50.0 / 500));
  }
  SUBCASE("of which they take no more than they ask for") {
    Threshold.update(usedUp({2000, 10}), at(milliseconds(0)));
    CHECK(Threshold.shareOf(0) == doctest::Approx(990.0 / 2000));
    CHECK(Threshold.shareOf(1) == doctest::Approx(1));
  }
  SUBCASE("all of it follows the demand at once") {
    Threshold.update(usedUp({600, 1400}), at(milliseconds(0)));
    Threshold.update(usedUp({100, 300}), at(milliseconds(1)));
    CHECK(Threshold.shareOf(1) == doctest::Approx(1));
  }
}

TEST_CASE("A service that is not short admits all") {
  rank_threshold Threshold;
  service_load Load = usedUp({600, 1400});

  SUBCASE("because of free slots") { Load.FreeSlots = 200; }
  SUBCASE("although its targets refuse requests: there are free slots") {
    Load.FreeSlots = 200;
    Load.RefusedPerSecond = 500;
  }
  SUBCASE("although few slots are known to be free: no target refuses") {
    Load.FreeSlots = 60;
  }
  SUBCASE("of which nothing is known") { Load.Slots = 0; }

  Threshold.update(Load, at(milliseconds(0)));
  CHECK_FALSE(Threshold.isShort());
  CHECK(Threshold.shareOf(1) == 1);
}

TEST_CASE("166 instances that know the load half a second late") {
  fleet_model Fleet;
  const std::vector<kind> Before = Fleet.run({400, 900}, milliseconds(3000));
  CHECK(Before[1].Admitted == Before[1].Asked);
  CHECK_FALSE(Fleet.isShort());

  SUBCASE("share twice the load by rank") {
    Fleet.run({2000, 4600}, milliseconds(1000));
    const std::vector<kind> Short = Fleet.run({2000, 4600}, milliseconds(4000));
    fleet_model Unranked(withoutShortage());
    Unranked.run({400, 900}, milliseconds(3000));
    Unranked.run({2000, 4600}, milliseconds(1000));
    const std::vector<kind> Equal =
        Unranked.run({2000, 4600}, milliseconds(4000));
    // Targets are chosen blindly, so that some refuse while others are free:
    // fewer requests in all find a slot if fewer are sent.
    CHECK(Short[0].servedFraction() >= 1.6 * Equal[0].servedFraction());
    CHECK(Short[0].servedFraction() >= 3 * Short[1].servedFraction());
    CHECK(static_cast<double>(servedOf(Short)) >=
          0.8 * static_cast<double>(servedOf(Equal)));
    // Lesser ranks are not starved.
    CHECK(Short[1].servedFraction() >= 0.15);
    CHECK(Fleet.changes() == 1);

    SUBCASE("and open within a second after it, for good") {
      Fleet.run({400, 900}, milliseconds(1000));
      const std::vector<kind> After = Fleet.run({400, 900}, milliseconds(5000));
      CHECK(After[1].Admitted == After[1].Asked);
      CHECK(Fleet.changes() == 2);
    }
  }
  SUBCASE("keep a part for lesser ranks when the urgent one asks for all") {
    Fleet.run({6600, 2000}, milliseconds(1000));
    const std::vector<kind> Short = Fleet.run({6600, 2000}, milliseconds(4000));
    CHECK(Short[1].servedFraction() >= 0.08);
    CHECK(Short[0].servedFraction() >= Short[1].servedFraction());
  }
}
