#include "Fleet/FleetBudgets.h"

namespace magnolia::fleet {
namespace {

/// Parts of the window that make up the record of the last moments.
constexpr int64_t StatsIntervals = 4;

} // namespace

int64_t fleet_budgets::numberAt(boot_time Now) const {
  const duration PartLength = Settings.Window / static_cast<int64_t>(Parts);
  return Now.time_since_epoch() / PartLength;
}

fleet_budgets::part &fleet_budgets::partAt(budget &Budget,
                                           boot_time Now) const {
  const int64_t Number = numberAt(Now);
  part &Part = Budget.Window.at(static_cast<size_t>(Number) % Parts);
  if (Part.Number != Number) {
    Part = part();
    Part.Number = Number;
  }
  return Part;
}

void fleet_budgets::countRequest(uint32_t Service, boot_time Now) {
  budget &Budget = Budgets[Service];
  partAt(Budget, Now).Requests += 1;
  ++Budget.Requests;
  Budget.Changed.fill(true);
}

void fleet_budgets::countFailed(uint32_t Service, boot_time Now) {
  budget &Budget = Budgets[Service];
  partAt(Budget, Now).Failed += 1;
  ++Budget.Failed;
  Budget.Changed.fill(true);
}

service_stats fleet_budgets::statsOf(uint32_t Service, boot_time Now) {
  budget &Budget = Budgets[Service];
  const int64_t Present = partAt(Budget, Now).Number;
  double Requests = 0;
  double Failed = 0;
  for (const part &Part : Budget.Window) {
    if (Part.Number + StatsIntervals <= Present)
      continue;
    Requests += Part.Requests;
    Failed += Part.Failed;
  }
  const double Seconds =
      std::chrono::duration<double>(
          Settings.Window / static_cast<int64_t>(Parts) * StatsIntervals)
          .count();
  return {Requests / Seconds, Requests > 0 ? Failed / Requests : 0};
}

bool fleet_budgets::tryExtraAttempt(uint32_t Service, double ReachableFraction,
                                    boot_time Now) {
  budget &Budget = Budgets[Service];
  part &Present = partAt(Budget, Now);
  double Requests = 0;
  double ExtraAttempts = 0;
  for (const part &Part : Budget.Window) {
    if (Part.Number + static_cast<int64_t>(Parts) <= Present.Number)
      continue;
    Requests += Part.Requests;
    ExtraAttempts += Part.ExtraAttempts;
  }
  const double KnownSlack = Now - Started < Settings.Window
                                ? Settings.Slack * Settings.FirstSlack
                                : Settings.Slack;
  const double Bound = Settings.Used * (Settings.Ratio * Requests +
                                        KnownSlack * ReachableFraction);
  if (ExtraAttempts + 1 > Bound)
    return false;
  Present.ExtraAttempts += 1;
  ++Budget.ExtraAttempts;
  Budget.Changed.fill(true);
  return true;
}

void fleet_budgets::chargePeers(const service_total &Growth, boot_time Now) {
  part &Part = partAt(Budgets[Growth.Key], Now);
  Part.Requests += static_cast<double>(Growth.Requests);
  Part.ExtraAttempts += static_cast<double>(Growth.ExtraAttempts);
  Part.Failed += static_cast<double>(Growth.Failed);
}

std::vector<service_total> fleet_budgets::collectTotals(audience Audience,
                                                        bool Everything) {
  std::vector<service_total> Totals;
  for (auto &[Key, Budget] : Budgets) {
    bool &Changed = Budget.Changed.at(static_cast<size_t>(Audience));
    if (Budget.Requests == 0 || (!Everything && !Changed))
      continue;
    Changed = false;
    Totals.push_back(
        {Key, Budget.Requests, Budget.ExtraAttempts, Budget.Failed});
  }
  return Totals;
}

} // namespace magnolia::fleet
