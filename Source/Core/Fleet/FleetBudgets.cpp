#include "Fleet/FleetBudgets.h"

#include <algorithm>
#include <cmath>
#include <limits>

#include <absl/strings/str_cat.h>

#include "Common/Digest.h"

namespace magnolia::fleet {
namespace {

/// Intervals of the window that statsOf() covers.
constexpr int64_t StatsIntervals = 4;

} // namespace

int64_t fleet_budgets::intervalNumber(boot_time Now) const {
  const duration IntervalLength =
      Settings.Window / static_cast<int64_t>(IntervalCount);
  return Now.time_since_epoch() / IntervalLength;
}

fleet_budgets::interval &fleet_budgets::intervalAt(budget &Budget,
                                                   boot_time Now) const {
  const int64_t Number = intervalNumber(Now);
  interval &Interval =
      Budget.Window.at(static_cast<size_t>(Number) % IntervalCount);
  if (Interval.Number != Number) {
    Interval = interval();
    Interval.Number = Number;
  }
  return Interval;
}

void fleet_budgets::countRequest(uint32_t Service, boot_time Now) {
  budget &Budget = Budgets[Service];
  intervalAt(Budget, Now).Requests += 1;
  ++Budget.Requests;
  Budget.Changed.fill(true);
}

void fleet_budgets::countFailed(uint32_t Service, boot_time Now) {
  budget &Budget = Budgets[Service];
  intervalAt(Budget, Now).Failed += 1;
  ++Budget.Failed;
  Budget.Changed.fill(true);
}

service_stats fleet_budgets::statsOf(uint32_t Service, boot_time Now) {
  budget &Budget = Budgets[Service];
  const int64_t Current = intervalAt(Budget, Now).Number;
  double Requests = 0;
  double Failed = 0;
  for (const interval &Interval : Budget.Window) {
    if (Interval.Number + StatsIntervals <= Current)
      continue;
    Requests += Interval.Requests;
    Failed += Interval.Failed;
  }
  const double Seconds =
      std::chrono::duration<double>(Settings.Window /
                                    static_cast<int64_t>(IntervalCount) *
                                    StatsIntervals)
          .count();
  return {Requests / Seconds, Requests > 0 ? Failed / Requests : 0};
}

double fleet_budgets::ownPart(double Attempts, const fleet_part &Fleet,
                              uint32_t Service, boot_time Now) const {
  const double Part =
      std::max(Attempts, 0.0) / static_cast<double>(Fleet.Instances);
  const double Whole = std::floor(Part);
  const int64_t Period = Now.time_since_epoch() / Settings.ReportTime;
  const auto Drawn = static_cast<double>(
      common::stableHash(absl::StrCat(Service, "/", Period), Instance));
  const bool RoundsUp =
      Drawn < (Part - Whole) *
                  static_cast<double>(std::numeric_limits<uint64_t>::max());
  return Whole + (RoundsUp ? 1 : 0);
}

budget_decision fleet_budgets::stateOf(budget &Budget, const fleet_part &Fleet,
                                       boot_time Now) const {
  const int64_t Current = intervalNumber(Now);
  budget_decision State;
  for (const interval &Interval : Budget.Window) {
    if (Interval.Number + static_cast<int64_t>(IntervalCount) <= Current)
      continue;
    State.Requests += Interval.Requests;
    State.ExtraAttempts += Interval.ExtraAttempts;
  }
  const double AllowedSlack =
      Now - Started < Settings.Window
          ? Settings.Slack * Settings.FirstWindowSlackFraction
          : Settings.Slack;
  State.Bound = Settings.UsableFraction * (Settings.Ratio * State.Requests +
                                           AllowedSlack * Fleet.Reachable);
  return State;
}

double fleet_budgets::usedFraction(uint32_t Service, const fleet_part &Fleet,
                                   boot_time Now) {
  const budget_decision State = stateOf(Budgets[Service], Fleet, Now);
  return State.Bound > 0 ? State.ExtraAttempts / State.Bound : 1;
}

budget_decision fleet_budgets::tryExtraAttempt(uint32_t Service,
                                               const fleet_part &Fleet,
                                               boot_time Now) {
  budget &Budget = Budgets[Service];
  budget_decision Decision = stateOf(Budget, Fleet, Now);
  std::deque<boot_time> &Unreported = Budget.Unreported;
  while (!Unreported.empty() && Now - Unreported.front() >= Settings.ReportTime)
    Unreported.pop_front();
  Decision.Unreported = Unreported.size();
  const double LeftBefore = Decision.Bound - Decision.ExtraAttempts +
                            static_cast<double>(Decision.Unreported);
  Decision.OwnPart = ownPart(LeftBefore, Fleet, Service, Now);
  if (Decision.ExtraAttempts + 1 > Decision.Bound ||
      static_cast<double>(Decision.Unreported) + 1 > Decision.OwnPart)
    return Decision;
  Decision.Granted = true;
  Unreported.push_back(Now);
  intervalAt(Budget, Now).ExtraAttempts += 1;
  ++Budget.ExtraAttempts;
  Budget.Changed.fill(true);
  return Decision;
}

void fleet_budgets::chargePeers(const service_total &Growth, boot_time Now) {
  interval &Interval = intervalAt(Budgets[Growth.Key], Now);
  Interval.Requests += static_cast<double>(Growth.Requests);
  Interval.ExtraAttempts += static_cast<double>(Growth.ExtraAttempts);
  Interval.Failed += static_cast<double>(Growth.Failed);
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
