#include <algorithm>
#include <deque>
#include <memory>
#include <random>
#include <vector>

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include "Fleet/FleetBudgets.h"
#include "Fleet/PeerView.h"

using namespace magnolia::fleet;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr uint32_t Service = 7;

budget_settings limitedTo(double Share, double Allowance) {
  budget_settings Settings{0.2, 200, seconds(10), 0.75};
  Settings.SecondSends = second_send_limit{Share, Allowance};
  return Settings;
}

/// Instances that each report their totals twice a second, over paths that lose
/// and delay some reports.
class lossy_fleet {
public:
  static constexpr size_t Instances = 50;
  static constexpr milliseconds Step{2};
  static constexpr milliseconds ReportPeriod{500};

  explicit lossy_fleet(const budget_settings &Settings) : Settings(Settings) {
    for (uint64_t Instance = 0; Instance < Instances; ++Instance) {
      Fleet.push_back(
          std::make_unique<fleet_budgets>(Settings, boot_time(), Instance));
      Known.emplace_back(Instances);
    }
  }

  /// Sends a request in each step; the fraction \p LateFraction of them is
  /// late and asks for a second send.
  void run(milliseconds Duration, double LateFraction, double LossFraction) {
    const boot_time End = Now + Duration;
    for (; Now < End; Now += Step) {
      const size_t Own = NextRequest++ % Instances;
      Fleet[Own]->countRequest(Service, Now);
      Requests.push_back(Now);
      Fleet[Own]->countTimedSend(Service, Now);
      const bool Late = draw() < LateFraction;
      if (Late)
        Fleet[Own]->countLateSend(Service, Now);
      if (Late &&
          Fleet[Own]->trySecondSend(Service, {1, Instances}, Now).Granted)
        SecondSends.push_back(Now);
      report(LossFraction);
    }
  }

  void restart(size_t Instance) {
    Fleet[Instance] =
        std::make_unique<fleet_budgets>(Settings, Now, Instance + Instances);
    // Its new run counts from zero, and what peers sent before is unknown.
    for (size_t Other = 0; Other < Instances; ++Other) {
      Known[Other][Instance] = {};
      Known[Instance][Other] = latest(Other);
    }
  }

  /// Whether no window has more second sends than its requests or those of the
  /// window before it allow.
  bool withinLimit() const {
    return std::all_of(
        SecondSends.begin(), SecondSends.end(), [&](boot_time First) {
          const auto Allowed =
              std::max(countIn(Requests, First),
                       countIn(Requests, First - Settings.SecondSendWindow));
          return static_cast<double>(countIn(SecondSends, First)) <=
                 Settings.SecondSends->Share * static_cast<double>(Allowed) +
                     Settings.SecondSends->Allowance;
        });
  }

  /// The lowest and the highest fraction of late sends that an instance knows.
  std::pair<double, double> lateFractions() {
    std::vector<double> Fractions;
    for (const auto &Instance : Fleet)
      Fractions.push_back(Instance->statsOf(Service, Now).LateFraction);
    const auto [Min, Max] =
        std::minmax_element(Fractions.begin(), Fractions.end());
    return {*Min, *Max};
  }

  size_t secondSends() const { return SecondSends.size(); }
  size_t requests() const { return Requests.size(); }

private:
  struct message {
    boot_time ArrivesAt;
    size_t From = 0;
    size_t To = 0;
    service_total Total;
  };

  double draw() { return std::uniform_real_distribution<>(0, 1)(Random); }

  size_t countIn(const std::vector<boot_time> &Times, boot_time First) const {
    const auto Begin = std::lower_bound(Times.begin(), Times.end(), First);
    const auto End = std::lower_bound(Times.begin(), Times.end(),
                                      First + Settings.SecondSendWindow);
    return static_cast<size_t>(End - Begin);
  }

  service_total latest(size_t Instance) {
    const auto Totals =
        Fleet[Instance]->collectTotals(audience::SameDomain, true);
    return Totals.empty() ? service_total() : Totals.front();
  }

  void report(double LossFraction) {
    for (size_t From = 0; From < Instances; ++From) {
      const auto Phase = milliseconds(From * ReportPeriod.count() / Instances);
      if ((Now.time_since_epoch() - Phase) % ReportPeriod >= Step)
        continue;
      const service_total Total = latest(From);
      for (size_t To = 0; To < Instances; ++To)
        if (To != From && draw() >= LossFraction)
          Messages.push_back({Now + milliseconds(60), From, To, Total});
    }
    for (; !Messages.empty() && Messages.front().ArrivesAt <= Now;
         Messages.pop_front())
      receive(Messages.front());
  }

  void receive(const message &Message) {
    service_total &Before = Known[Message.To][Message.From];
    const service_total &Total = Message.Total;
    if (Total.Requests < Before.Requests)
      return;
    Fleet[Message.To]->chargePeers({Service, Total.Requests - Before.Requests,
                                    Total.ExtraAttempts - Before.ExtraAttempts,
                                    0, Total.SecondSends - Before.SecondSends,
                                    Total.TimedSends - Before.TimedSends,
                                    Total.LateSends - Before.LateSends},
                                   Now);
    Before = Total;
  }

  const budget_settings Settings;
  std::mt19937 Random{11};
  std::vector<std::unique_ptr<fleet_budgets>> Fleet;
  std::vector<std::vector<service_total>> Known;
  std::deque<message> Messages;
  std::vector<boot_time> Requests;
  std::vector<boot_time> SecondSends;
  size_t NextRequest = 0;
  boot_time Now{seconds(100)};
};

} // namespace

TEST_CASE("The limit on second sends of one instance") {
  boot_time Now(seconds(100));
  fleet_budgets Budgets(limitedTo(0.02, 8), boot_time());
  const auto TakeAll = [&] {
    int Taken = 0;
    while (Budgets.trySecondSend(Service, {}, Now).Granted)
      ++Taken;
    return Taken;
  };

  SUBCASE("is the usable part of the allowance before any request") {
    CHECK(TakeAll() == 6);
  }
  SUBCASE("grows with the requests of the window and those of peers") {
    for (int Count = 0; Count < 500; ++Count)
      Budgets.countRequest(Service, Now);
    Budgets.chargePeers({Service, 500, 4, 0, 4}, Now);
    CHECK(TakeAll() == 17);
    CHECK(Budgets.totalsOf(Service).Requests == 1000);
    CHECK(Budgets.totalsOf(Service).SecondSends == 21);

    SUBCASE("and is free again after it") {
      Now += seconds(32);
      CHECK(TakeAll() == 6);
    }
  }
  SUBCASE("of zero allows none") {
    Budgets.limitSecondSends(second_send_limit{0, 8});
    CHECK(TakeAll() == 0);
  }
  SUBCASE("can be changed and taken away") {
    Budgets.limitSecondSends(second_send_limit{0.02, 16});
    CHECK(TakeAll() == 12);
    Budgets.limitSecondSends(std::nullopt);
    CHECK(TakeAll() == 0);
    CHECK(Budgets.tryExtraAttempt(Service, {}, Now).Use.Granted);
  }
  SUBCASE("leaves half of the extra attempts to retries, however high it is") {
    Budgets.limitSecondSends(second_send_limit{1, 1000});
    const int Taken = TakeAll();
    CHECK(Taken == 75);
    CHECK_FALSE(Budgets.trySecondSend(Service, {}, Now).LeavesRetries);
    int Retries = 0;
    while (Budgets.tryExtraAttempt(Service, {}, Now).Use.Granted)
      ++Retries;
    CHECK(Retries == 75);
  }
  SUBCASE("gives way to retries that were there first") {
    for (int Count = 0; Count < 75; ++Count)
      REQUIRE(Budgets.tryExtraAttempt(Service, {}, Now).Use.Granted);
    const second_send_budget Decision = Budgets.trySecondSend(Service, {}, Now);
    CHECK_FALSE(Decision.Granted);
    CHECK(Decision.Limit.Granted);
    CHECK_FALSE(Decision.LeavesRetries);
  }
  SUBCASE("leaves an instance with a small part one retry of it") {
    // 51 instances share 150 extra attempts: two or three each.
    const fleet_part Fleet{1, 51};
    Budgets.limitSecondSends(second_send_limit{1, 1000});
    int Taken = 0;
    while (Budgets.trySecondSend(Service, Fleet, Now).Granted)
      ++Taken;
    CHECK(Taken == 1);
    CHECK(Budgets.tryExtraAttempt(Service, Fleet, Now).Use.Granted);
  }
}

TEST_CASE("Fifty instances with late requests") {
  lossy_fleet Fleet(limitedTo(0.02, 5));

  SUBCASE("use most of the limit if a tenth of the requests is late") {
    Fleet.run(seconds(60), 0.1, 0);
    CHECK(Fleet.withinLimit());
    CHECK(static_cast<double>(Fleet.secondSends()) >
          0.01 * static_cast<double>(Fleet.requests()));
  }
  SUBCASE("stay within it if all are late at the same moment") {
    Fleet.run(seconds(30), 0, 0);
    REQUIRE(Fleet.secondSends() == 0);
    Fleet.run(seconds(10), 1, 0);
    CHECK(Fleet.withinLimit());
    CHECK(Fleet.secondSends() > 100);
  }
  SUBCASE("all know within two seconds that all targets are slow, and that "
          "they no longer are") {
    Fleet.run(seconds(10), 0.1, 0.1);
    CHECK(Fleet.lateFractions().second < 0.2);
    Fleet.run(seconds(2), 1, 0.1);
    CHECK(Fleet.lateFractions().first > 0.5);
    Fleet.run(milliseconds(3500), 0.1, 0.1);
    CHECK(Fleet.lateFractions().second < 0.2);
  }
  SUBCASE("stay within it if a third of the reports is lost") {
    Fleet.run(seconds(60), 1, 0.33);
    CHECK(Fleet.withinLimit());
  }
  SUBCASE("stay within it while they restart one after the other") {
    Fleet.run(seconds(10), 1, 0.1);
    for (size_t Instance = 0; Instance < lossy_fleet::Instances; ++Instance) {
      Fleet.restart(Instance);
      Fleet.run(milliseconds(400), 1, 0.1);
    }
    CHECK(Fleet.withinLimit());
  }
}

TEST_CASE("The fraction of late sends over the fleet") {
  fleet_budgets Budgets(limitedTo(0.02, 5), boot_time());
  const boot_time Now(seconds(100));
  CHECK(Budgets.statsOf(Service, Now).LateFraction == 0);
  for (int Count = 0; Count < 10; ++Count)
    Budgets.countTimedSend(Service, Now);
  Budgets.countLateSend(Service, Now);
  Budgets.chargePeers({Service, 30, 0, 0, 0, 30, 19}, Now);
  CHECK(Budgets.statsOf(Service, Now).LateFraction == doctest::Approx(0.5));
  CHECK(Budgets.statsOf(Service, Now + seconds(3)).LateFraction == 0);
}

TEST_CASE("Second sends in messages between instances") {
  update_message Update;
  Update.Services = {{7, 100, 9, 2}, {8, 50, 4, 1}};
  const std::string Without = encode(Update);
  Update.Services[1].SecondSends = 3;
  Update.Services[1].TimedSends = 40;
  Update.Services[1].LateSends = 5;
  const std::string With = encode(Update);

  SUBCASE("cost a few bytes, and none without a limit") {
    CHECK(With.size() <= Without.size() + 10);
  }
  SUBCASE("arrive, also if only some services have them") {
    const auto Read = decode(With);
    REQUIRE(Read.ok());
    const auto &Services = std::get<update_message>(*Read).Services;
    REQUIRE(Services.size() == 2);
    CHECK(Services[0].SecondSends == 0);
    CHECK(Services[1].Requests == 50);
    CHECK(Services[1].SecondSends == 3);
    CHECK(Services[1].TimedSends == 40);
    CHECK(Services[1].LateSends == 5);
  }
  SUBCASE("are ignored by an earlier version, which reads groups of four") {
    const auto Message = nlohmann::json::from_cbor(With);
    const nlohmann::json &Services = Message.at(6);
    REQUIRE(Services.size() % 4 == 1);
    const auto Before = nlohmann::json::from_cbor(Without);
    for (size_t Index = 0; Index + 3 < Services.size(); ++Index)
      CHECK(Services[Index] == Before.at(6)[Index]);
    CHECK(Message.size() == Before.size());
  }
  SUBCASE("are absent from those of an earlier version") {
    const auto Read = decode(Without);
    REQUIRE(Read.ok());
    CHECK(std::get<update_message>(*Read).Services.at(1).SecondSends == 0);
  }
}

TEST_CASE("Second sends of a peer whose reports arrive out of order") {
  uint64_t SecondSends = 0;
  uint64_t LateSends = 0;
  peer_hooks Hooks;
  Hooks.OnServiceUse = [&](const service_total &Growth) {
    SecondSends += Growth.SecondSends;
    LateSends += Growth.LateSends;
  };
  Hooks.OnUpdate = [](const peer &, const update_message &) {};
  const boot_time Now(seconds(10));
  peer_view View("own", 1, Now - seconds(1), {}, Hooks);
  hello_message Hello;
  Hello.Boot = 2;
  Hello.Identity = {"other", "Nitra", "10.0.0.2:7", "10.0.0.2:8"};
  View.apply(Hello, Now);
  update_message Update;
  Update.Boot = 2;
  for (const uint64_t Total : {3U, 9U, 5U, 9U, 12U}) {
    ++Update.Number;
    Update.Services = {{Service, 100, Total, 0, Total, 100, 2 * Total}};
    View.apply(Update, Now);
  }
  CHECK(SecondSends == 12);
  CHECK(LateSends == 24);
}
