#include "Fleet/FleetBudgets.h"

#include <algorithm>

namespace magnolia::fleet {
namespace {

/// Intervals of the window that statsOf() covers.
constexpr int64_t StatsIntervals = 4;
/// Intervals after the first request of a service that do not count in its
/// highest failed fraction: nothing is known of its targets yet.
constexpr int64_t LearningIntervals = 4;
/// Two seconds with fewer requests are not counted in the highest failed
/// fraction: one failure would be a large part of them.
constexpr double MinPeakRequests = 20;

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
  if (!Budget.FirstInterval)
    Budget.FirstInterval = intervalNumber(Now);
  interval &Interval = intervalAt(Budget, Now);
  Interval.Requests += 1;
  Interval.OwnRequests += 1;
  Budget.SecondSendRequests.add(Settings.SecondSendWindow, 1, Now);
  ++Budget.Fleet.Requests;
  ++Budget.Requests;
  Budget.Changed.fill(true);
}

void fleet_budgets::countFailed(uint32_t Service, boot_time Now) {
  budget &Budget = Budgets[Service];
  intervalAt(Budget, Now).Failed += 1;
  ++Budget.Failed;
  Budget.Changed.fill(true);
}

void fleet_budgets::countTimedSend(uint32_t Service, boot_time Now) {
  budget &Budget = Budgets[Service];
  Budget.TimedSends.add(Settings.LateWindow, 1, Now);
  ++Budget.OwnTimedSends;
  Budget.Changed.fill(true);
}

void fleet_budgets::countLateSend(uint32_t Service, boot_time Now) {
  budget &Budget = Budgets[Service];
  Budget.LateSends.add(Settings.LateWindow, 1, Now);
  ++Budget.OwnLateSends;
  Budget.Changed.fill(true);
}

void fleet_budgets::countRefused(uint32_t Service, bool TargetsWatched,
                                 boot_time Now) {
  if (!TargetsWatched)
    countFailed(Service, Now);
  else
    intervalAt(Budgets[Service], Now).NotAdmitted += 1;
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
  const double Timed = Budget.TimedSends.sumAt(Settings.LateWindow, Now);
  const double Late = Budget.LateSends.sumAt(Settings.LateWindow, Now);
  return {Requests / Seconds, Requests > 0 ? Failed / Requests : 0,
          Timed > 0 ? std::min(1.0, Late / Timed) : 0,
          peakFailedFraction(Budget, Current) +
              notAdmittedFraction(Budget, Current)};
}

double fleet_budgets::rateOf(uint32_t Key, boot_time Now) const {
  const auto Found = Budgets.find(Key);
  if (Found == Budgets.end())
    return 0;
  const duration IntervalLength =
      Settings.Window / static_cast<int64_t>(IntervalCount);
  const int64_t Current = intervalNumber(Now);
  double Requests = 0;
  for (const interval &Interval : Found->second.Window)
    if (Interval.Number == Current || Interval.Number == Current - 1)
      Requests += Interval.Requests;
  const duration Covered =
      IntervalLength + Now.time_since_epoch() % IntervalLength;
  return Requests / std::chrono::duration<double>(Covered).count();
}

double fleet_budgets::notAdmittedFraction(const budget &Budget,
                                          int64_t Current) {
  double Requests = 0;
  double NotAdmitted = 0;
  for (const interval &Interval : Budget.Window) {
    if (Interval.Number + static_cast<int64_t>(IntervalCount) <= Current)
      continue;
    Requests += Interval.OwnRequests;
    NotAdmitted += Interval.NotAdmitted;
  }
  return Requests >= MinPeakRequests ? NotAdmitted / Requests : 0;
}

double fleet_budgets::peakFailedFraction(const budget &Budget,
                                         int64_t Current) const {
  const auto At = [&](int64_t Number) {
    const interval &Interval =
        Budget.Window.at(static_cast<size_t>(Number) % IntervalCount);
    return Interval.Number == Number ? Interval : interval();
  };
  if (!Budget.FirstInterval)
    return 0;
  double Peak = 0;
  const int64_t Oldest = Current - static_cast<int64_t>(IntervalCount) + 1;
  for (int64_t First =
           std::max(Oldest, *Budget.FirstInterval + LearningIntervals);
       First + StatsIntervals <= Current + 1; ++First) {
    double Requests = 0;
    double Failed = 0;
    for (int64_t Number = First; Number < First + StatsIntervals; ++Number) {
      Requests += At(Number).Requests;
      Failed += At(Number).Failed;
    }
    if (Requests >= MinPeakRequests)
      Peak = std::max(Peak, Failed / Requests);
  }
  return Peak;
}

double fleet_budgets::requestsAt(const budget &Budget, boot_time Now) const {
  const int64_t Current = intervalNumber(Now);
  double Requests = 0;
  for (const interval &Interval : Budget.Window)
    if (Interval.Number + static_cast<int64_t>(IntervalCount) > Current)
      Requests += Interval.Requests;
  return Requests;
}

double fleet_budgets::boundFor(double Requests, const fleet_part &Fleet,
                               boot_time Now) const {
  const double AllowedSlack =
      Now - Started < Settings.Window
          ? Settings.Slack * Settings.FirstWindowSlackFraction
          : Settings.Slack;
  return Settings.UsableFraction *
         (Settings.Ratio * Requests + AllowedSlack * Fleet.Reachable);
}

fleet_budgets::budget_state fleet_budgets::stateOf(uint32_t Service,
                                                   const fleet_part &Fleet,
                                                   boot_time Now) {
  const budget &Budget = Budgets[Service];
  const double Bound = boundFor(requestsAt(Budget, Now), Fleet, Now);
  if (Bound <= 0)
    return {};
  const double Seconds = std::chrono::duration<double>(Settings.Window).count();
  return {Bound / Seconds, Budget.ExtraAttempts.usedAt(Uses, Now) / Bound};
}

double fleet_budgets::usablePart(const request_rank &Rank) const {
  if (Rank.Count <= 1)
    return 1;
  return 1 - Settings.UrgentReserve * static_cast<double>(Rank.Number) /
                 static_cast<double>(Rank.Count - 1);
}

budget_decision fleet_budgets::tryExtraAttempt(uint32_t Service,
                                               const fleet_part &Fleet,
                                               boot_time Now,
                                               const request_rank &Rank) {
  budget &Budget = Budgets[Service];
  const double Requests = requestsAt(Budget, Now);
  const double Bound = usablePart(Rank) * boundFor(Requests, Fleet, Now);
  const use_decision Use =
      Budget.ExtraAttempts.tryUse(Uses, Service, Bound, Fleet, Now);
  if (Use.Granted) {
    ++Budget.OwnExtraAttempts;
    Budget.Changed.fill(true);
  }
  return {Requests, Use};
}

double fleet_budgets::secondSendBound(double Requests, const fleet_part &Fleet,
                                      boot_time Now) const {
  if (!SecondSendLimit || SecondSendLimit->Share <= 0)
    return 0;
  // The second sends of its predecessors are unknown to an instance that has
  // just started.
  const double Allowance =
      Now - Started < Settings.SecondSendWindow
          ? SecondSendLimit->Allowance * Settings.FirstWindowSlackFraction
          : SecondSendLimit->Allowance;
  return Settings.UsableFraction *
         (SecondSendLimit->Share * Requests + Allowance * Fleet.Reachable);
}

bool fleet_budgets::leavesRetries(const use_decision &Use) const {
  const double Usable = 1 - Settings.RetryReserve;
  const auto Own = static_cast<double>(Use.Unreported);
  return Use.Used + 1 <= Usable * Use.Bound && Own + 1 <= Usable * Use.OwnPart;
}

second_send_budget fleet_budgets::trySecondSend(uint32_t Service,
                                                const fleet_part &Fleet,
                                                boot_time Now) {
  budget &Budget = Budgets[Service];
  second_send_budget Decision;
  Decision.Requests =
      Budget.SecondSendRequests.sumAt(Settings.SecondSendWindow, Now);
  const double Limit = secondSendBound(Decision.Requests, Fleet, Now);
  const double Shared = boundFor(requestsAt(Budget, Now), Fleet, Now);
  Decision.Limit =
      Budget.SecondSends.decide(SecondSendUses, Service, Limit, Fleet, Now);
  Decision.Shared =
      Budget.ExtraAttempts.decide(Uses, Service, Shared, Fleet, Now);
  Decision.LeavesRetries = leavesRetries(Decision.Shared);
  Decision.Granted = Decision.Limit.Granted && Decision.LeavesRetries;
  if (!Decision.Granted)
    return Decision;
  Budget.SecondSends.tryUse(SecondSendUses, Service, Limit, Fleet, Now);
  Budget.ExtraAttempts.tryUse(Uses, Service, Shared, Fleet, Now);
  ++Budget.OwnSecondSends;
  ++Budget.OwnExtraAttempts;
  ++Budget.Fleet.SecondSends;
  Budget.Changed.fill(true);
  return Decision;
}

fleet_budgets::fleet_totals fleet_budgets::totalsOf(uint32_t Service) const {
  const auto Found = Budgets.find(Service);
  return Found == Budgets.end() ? fleet_totals() : Found->second.Fleet;
}

void fleet_budgets::chargePeers(const service_total &Growth, boot_time Now) {
  budget &Budget = Budgets[Growth.Key];
  Budget.ExtraAttempts.chargePeers(
      Uses, static_cast<double>(Growth.ExtraAttempts), Now);
  interval &Interval = intervalAt(Budget, Now);
  Interval.Requests += static_cast<double>(Growth.Requests);
  Interval.Failed += static_cast<double>(Growth.Failed);
  Budget.SecondSends.chargePeers(SecondSendUses,
                                 static_cast<double>(Growth.SecondSends), Now);
  Budget.SecondSendRequests.add(Settings.SecondSendWindow,
                                static_cast<double>(Growth.Requests), Now);
  Budget.TimedSends.add(Settings.LateWindow,
                        static_cast<double>(Growth.TimedSends), Now);
  Budget.LateSends.add(Settings.LateWindow,
                       static_cast<double>(Growth.LateSends), Now);
  Budget.Fleet.Requests += Growth.Requests;
  Budget.Fleet.SecondSends += Growth.SecondSends;
}

std::vector<service_total> fleet_budgets::collectTotals(audience Audience,
                                                        bool Everything) {
  std::vector<service_total> Totals;
  for (auto &[Key, Budget] : Budgets) {
    bool &Changed = Budget.Changed.at(static_cast<size_t>(Audience));
    if (Budget.Requests == 0 || (!Everything && !Changed))
      continue;
    Changed = false;
    Totals.push_back({Key, Budget.Requests, Budget.OwnExtraAttempts,
                      Budget.Failed, Budget.OwnSecondSends,
                      Budget.OwnTimedSends, Budget.OwnLateSends});
  }
  return Totals;
}

} // namespace magnolia::fleet
