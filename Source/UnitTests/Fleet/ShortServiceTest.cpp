#include <algorithm>
#include <array>
#include <deque>
#include <memory>
#include <random>
#include <vector>

#include <doctest/doctest.h>

#include "Admission/ServiceTurns.h"
#include "Fleet/FleetBudgets.h"
#include "Request/RefusalPlan.h"

using namespace magnolia;
using namespace magnolia::admission;
using request::after_refusal;
using std::chrono::milliseconds;

namespace {

constexpr size_t InstanceCount = 166;
constexpr size_t TargetCount = 165;
constexpr size_t SlotsPerTarget = 2;
constexpr milliseconds SlotTime{100};
constexpr milliseconds Objective{600};
constexpr milliseconds ReportAge{500};
constexpr milliseconds Period{25};
constexpr milliseconds Backoff{60};
constexpr uint32_t Service = 7;

common::boot_time at(milliseconds Time) {
  return common::boot_time(std::chrono::seconds(100) + Time);
}

/// The requests of one rank.
struct kind {
  size_t Asked = 0;
  size_t InTime = 0;
  /// Refused by targets.
  size_t Lost = 0;
  size_t Sends = 0;
  size_t RefusedSends = 0;
  size_t MostSends = 0;
  /// Extra attempts that were asked for, and those that the budget had.
  size_t ExtraAsked = 0;
  size_t ExtraGranted = 0;
  /// How long those waited that got no turn.
  std::vector<milliseconds> RefusedAfter;

  milliseconds refusedAfter(double Quantile) {
    if (RefusedAfter.empty())
      return milliseconds(0);
    std::sort(RefusedAfter.begin(), RefusedAfter.end());
    const auto Last = static_cast<double>(RefusedAfter.size() - 1);
    return RefusedAfter[static_cast<size_t>(Quantile * Last)];
  }
  static double fraction(size_t Part, size_t Whole) {
    return static_cast<double>(Part) / static_cast<double>(Whole);
  }
  double refusedFraction() const {
    return fraction(RefusedAfter.size(), Asked);
  }
  double inTimeFraction() const { return fraction(InTime, Asked); }
  double grantedFraction() const { return fraction(ExtraGranted, ExtraAsked); }
};

/// How the instances decide.
struct rules {
  /// Whether the ranks of requests are told to the budget of extra attempts.
  bool BudgetByRank = true;
  request::refusal_limits Refusals;
};

/// Instances of which each tenth gets half of the requests. They know what
/// happens in the fleet when it is half a second old, and send to random
/// targets. Those of a service without ranks take no turns.
class short_service {
public:
  explicit short_service(size_t RankCount, const rules &Rules = {})
      : RankCount(RankCount), Rules(Rules), Instances(InstanceCount) {
    std::uniform_real_distribution<double> Drawn(0, 1);
    for (size_t Index = 0; Index < InstanceCount; ++Index) {
      Instances[Index].FirstTurns = Drawn(Random);
      Instances[Index].Budgets = std::make_unique<fleet::fleet_budgets>(
          fleet::budget_settings(), common::boot_time(), Index);
    }
  }

  /// Lets \p Rates, in requests per second by rank, arrive for \p Length.
  std::vector<kind> run(const std::vector<double> &Rates, milliseconds Length) {
    Kinds.assign(RankCount, {});
    for (const milliseconds End = Now + Length; Now < End;
         Now += milliseconds(1)) {
      History.push_back({std::vector<double>(RankCount), 0, 0, InUse});
      endRuns();
      resend();
      for (size_t Rank = 0; Rank < RankCount; ++Rank) {
        std::poisson_distribution<int> Arrivals(Rates[Rank] / 1000);
        for (int Count = Arrivals(Random); Count > 0; --Count)
          arrive(Rank);
      }
      History.back().InUse = InUse;
      reportBudget();
      if (Now % Period == milliseconds(0))
        report();
    }
    return Kinds;
  }

private:
  struct instance {
    service_turns Turns{turn_settings()};
    double FirstTurns = 0;
    std::unique_ptr<fleet::fleet_budgets> Budgets;
    fleet::service_total Reported;
  };
  struct moment {
    std::vector<double> Asked;
    double Taken = 0;
    double Refused = 0;
    uint32_t InUse = 0;
  };
  struct sent_request {
    size_t Instance = 0;
    size_t Rank = 0;
    milliseconds Until{0};
    ticket Ticket = 0;
    size_t Sends = 0;
    size_t Target = 0;
    /// When the run ends, or the next send is due.
    milliseconds Due{0};
  };

  size_t drawInstance() {
    std::uniform_int_distribution<size_t> Any(0, InstanceCount - 1);
    const size_t Drawn = Any(Random);
    return Random() % 2 == 0 ? Drawn : Drawn / 10 * 10;
  }

  void arrive(size_t Rank) {
    const size_t Index = drawInstance();
    ++Kinds[Rank].Asked;
    History.back().Asked[Rank] += 1;
    Instances[Index].Budgets->countRequest(Service, at(Now));
    const milliseconds Arrived = Now;
    if (RankCount == 1) {
      send({Index, Rank, Arrived + Objective});
      return;
    }
    const auto Result = Instances[Index].Turns.submit(
        {"clubs", Rank, at(Now + 3 * Objective), at(Now + Objective)}, at(Now),
        [this, Index, Rank, Arrived](ticket Ticket, const absl::Status &Turn) {
          if (Turn.ok())
            Granted.push_back({Index, Rank, Arrived + Objective, Ticket});
          else
            Kinds[Rank].RefusedAfter.push_back(Now - Arrived);
        });
    if (!Result.ok())
      Kinds[Rank].RefusedAfter.push_back(milliseconds(0));
    sendGranted();
  }

  void sendGranted() {
    while (!Granted.empty()) {
      const sent_request Next = Granted.front();
      Granted.pop_front();
      send(Next);
    }
  }

  void send(sent_request Request) {
    kind &Kind = Kinds[Request.Rank];
    ++Kind.Sends;
    ++Request.Sends;
    Kind.MostSends = std::max(Kind.MostSends, Request.Sends);
    Request.Target = Random() % TargetCount;
    if (Running.at(Request.Target) < SlotsPerTarget) {
      ++Running.at(Request.Target);
      ++InUse;
      Request.Due = Now + SlotTime;
      Runs.push_back(Request);
      return;
    }
    ++Kind.RefusedSends;
    History.back().Refused += 1;
    onRefused(Request);
  }

  void onRefused(sent_request Request) {
    const instance &Instance = Instances[Request.Instance];
    request::refused_request Refused;
    Refused.Refusals = Request.Sends;
    Refused.LoadIsTold = true;
    Refused.HasRoom =
        Instance.Turns.load().Slots == 0 || Instance.Turns.load().FreeSlots > 0;
    Refused.YieldsRoom = Request.Rank > 0 && Instance.Turns.isShort();
    Refused.HasUntriedTarget = true;
    const after_refusal Next = decideAfterRefusal(Rules.Refusals, Refused);
    if (Next == after_refusal::GiveUp || !tryExtraAttempt(Request)) {
      ++Kinds[Request.Rank].Lost;
      end(Request, slot_use::Failed);
      return;
    }
    Request.Due =
        Now + (Next == after_refusal::SendNow ? milliseconds(1) : Backoff);
    Resends.push_back(Request);
  }

  bool tryExtraAttempt(const sent_request &Request) {
    fleet::request_rank Rank;
    if (Rules.BudgetByRank)
      Rank = {Request.Rank, RankCount};
    const bool Granted =
        Instances[Request.Instance]
            .Budgets
            ->tryExtraAttempt(Service, {1, InstanceCount}, at(Now), Rank)
            .Use.Granted;
    ++Kinds[Request.Rank].ExtraAsked;
    Kinds[Request.Rank].ExtraGranted += Granted ? 1 : 0;
    return Granted;
  }

  void resend() {
    for (size_t Left = Resends.size(); Left > 0; --Left) {
      const sent_request Request = Resends.front();
      Resends.pop_front();
      if (Request.Due <= Now)
        send(Request);
      else
        Resends.push_back(Request);
    }
  }

  void endRuns() {
    while (!Runs.empty() && Runs.front().Due <= Now) {
      const sent_request Run = Runs.front();
      Runs.pop_front();
      --Running.at(Run.Target);
      --InUse;
      History.back().Taken += 1;
      Kinds[Run.Rank].InTime += Run.Due <= Run.Until ? 1 : 0;
      end(Run, slot_use::Completed);
      sendGranted();
    }
  }

  void end(const sent_request &Request, slot_use Use) {
    if (RankCount > 1)
      Instances[Request.Instance].Turns.release(Request.Ticket, Use, at(Now));
  }

  /// Each instance tells its totals twice a second.
  void reportBudget() {
    const auto Slot = static_cast<size_t>(Now.count() % ReportAge.count());
    if (Slot >= InstanceCount * 3 || Slot % 3 != 0)
      return;
    instance &From = Instances[Slot / 3];
    for (const fleet::service_total &Total :
         From.Budgets->collectTotals(fleet::audience::SameDomain, false)) {
      fleet::service_total Growth = Total;
      Growth.Requests -= From.Reported.Requests;
      Growth.ExtraAttempts -= From.Reported.ExtraAttempts;
      From.Reported = Total;
      for (instance &To : Instances)
        if (&To != &From)
          To.Budgets->chargePeers(Growth, at(Now));
    }
  }

  /// Tells the instances what was so when the reports were written.
  void report() {
    const auto Age = static_cast<size_t>(ReportAge.count());
    if (History.size() < Age)
      return;
    service_load Load;
    Load.Slots = TargetCount * SlotsPerTarget;
    const size_t End = History.size() - Age / 2;
    Load.FreeSlots = Load.Slots - History[End].InUse;
    Load.Demand.assign(RankCount, 0);
    for (size_t Index = End - std::min(Age, End); Index < End; ++Index) {
      Load.TakenPerSecond += 2 * History[Index].Taken;
      Load.RefusedPerSecond += 2 * History[Index].Refused;
      for (size_t Rank = 0; Rank < RankCount; ++Rank)
        Load.Demand[Rank] += 2 * History[Index].Asked[Rank];
    }
    for (instance &Each : Instances) {
      const bool WasShort = Each.Turns.isShort();
      Each.Turns.update(Load, InstanceCount, at(Now));
      if (!WasShort && Each.Turns.isShort())
        Each.Turns.setTurns(Each.FirstTurns);
      Each.Turns.advance(at(Now));
      sendGranted();
    }
  }

  const size_t RankCount;
  const rules Rules;
  std::mt19937_64 Random{7};
  milliseconds Now{0};
  std::vector<instance> Instances;
  std::array<size_t, TargetCount> Running{};
  std::deque<sent_request> Runs;
  std::deque<sent_request> Resends;
  std::deque<sent_request> Granted;
  std::vector<moment> History;
  std::vector<kind> Kinds;
  uint32_t InUse = 0;
};

/// What happens in four seconds of \p Rates, after a calm time and a second in
/// which the shortage becomes known.
std::vector<kind> afterACalm(const std::vector<double> &Rates,
                             const rules &Rules = {}) {
  std::vector<double> Calm = Rates;
  for (double &Rate : Calm)
    Rate /= 5;
  short_service Fleet(Rates.size(), Rules);
  Fleet.run(Calm, milliseconds(3000));
  Fleet.run(Rates, milliseconds(1000));
  return Fleet.run(Rates, milliseconds(4000));
}

} // namespace

TEST_CASE("166 instances at twice what the targets of a service can run") {
  SUBCASE("with two ranks") {
    std::vector<kind> Kinds = afterACalm({2000, 4600});
    CHECK(Kinds[0].refusedFraction() == 0);
    CHECK(Kinds[0].inTimeFraction() >= 0.7);
    CHECK(Kinds[1].inTimeFraction() >= 0.15);
    // Who gets no turn learns it on arrival.
    CHECK(Kinds[1].refusedFraction() >= 0.6);
    CHECK(Kinds[1].refusedAfter(0.5) == milliseconds(0));
    CHECK(Kinds[1].refusedAfter(0.99) <= milliseconds(50));
    CHECK(Kinds[0].MostSends <= 3);
    CHECK(Kinds[1].MostSends <= 2);
  }
  SUBCASE("with four ranks") {
    std::vector<kind> Kinds = afterACalm({800, 1200, 2000, 2600});
    for (size_t Rank = 1; Rank < Kinds.size(); ++Rank) {
      CAPTURE(Rank);
      CHECK(Kinds[Rank].inTimeFraction() < Kinds[Rank - 1].inTimeFraction());
      CHECK(Kinds[Rank].refusedAfter(0.5) == milliseconds(0));
      CHECK(Kinds[Rank].MostSends <= 2);
    }
    CHECK(Kinds[0].refusedFraction() < 0.01);
    CHECK(Kinds[0].inTimeFraction() >= 0.75);
    CHECK(Kinds[0].MostSends <= 3);
    // The least urgent keeps its part of what lesser ranks are guaranteed.
    CHECK(Kinds[3].inTimeFraction() >= 0.03);
    CHECK(Kinds[3].refusedAfter(0.9) <= milliseconds(50));
  }
  SUBCASE("with one rank: no more sends than three for a request") {
    const std::vector<kind> Kinds = afterACalm({6600});
    CHECK(Kinds[0].MostSends <= 3);
    CHECK(Kinds[0].RefusedAfter.empty());
  }
}

TEST_CASE("Requests that targets refuse share the budget of extra attempts") {
  rules Equal;
  Equal.BudgetByRank = false;
  const std::vector<double> Rates = {2000, 4600};
  const std::vector<kind> ByRank = afterACalm(Rates);
  const std::vector<kind> Equally = afterACalm(Rates, Equal);
  // The urgent ones get what the others would have used, and the targets are
  // sent no more.
  CHECK(ByRank[0].grantedFraction() >= 1.2 * Equally[0].grantedFraction());
  CHECK(ByRank[0].inTimeFraction() >= Equally[0].inTimeFraction() + 0.05);
  CHECK(ByRank[0].Sends + ByRank[1].Sends <=
        Equally[0].Sends + Equally[1].Sends);
}

TEST_CASE("166 instances that all start at twice what the targets can run") {
  short_service Fleet(2);
  const std::vector<double> Rates = {2000, 4600};
  // Nothing is known of the others yet.
  const std::vector<kind> Unknowing = Fleet.run(Rates, milliseconds(500));
  CHECK(Unknowing[1].RefusedAfter.empty());
  const std::vector<kind> Second = Fleet.run(Rates, milliseconds(500));
  CHECK(Second[0].inTimeFraction() >= 1.4 * Unknowing[0].inTimeFraction());
  const std::vector<kind> Third = Fleet.run(Rates, milliseconds(500));
  CHECK(Third[0].inTimeFraction() >= 0.65);
  CHECK(Third[0].inTimeFraction() >= 3 * Third[1].inTimeFraction());
  CHECK(Third[0].refusedFraction() < 0.01);
}
