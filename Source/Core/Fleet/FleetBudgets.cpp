#include "Fleet/FleetBudgets.h"

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
  ++Budget.Requests;
  Budget.Changed.fill(true);
}

void fleet_budgets::countFailed(uint32_t Service, boot_time Now) {
  budget &Budget = Budgets[Service];
  intervalAt(Budget, Now).Failed += 1;
  ++Budget.Failed;
  Budget.Changed.fill(true);
}

void fleet_budgets::countNotAdmitted(uint32_t Service, boot_time Now) {
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
  return {Requests / Seconds, Requests > 0 ? Failed / Requests : 0,
          peakFailedFraction(Budget, Current) +
              notAdmittedFraction(Budget, Current)};
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

budget_decision fleet_budgets::tryExtraAttempt(uint32_t Service,
                                               const fleet_part &Fleet,
                                               boot_time Now) {
  budget &Budget = Budgets[Service];
  const double Requests = requestsAt(Budget, Now);
  const use_decision Use = Budget.ExtraAttempts.tryUse(
      Uses, Service, boundFor(Requests, Fleet, Now), Fleet, Now);
  if (Use.Granted) {
    ++Budget.OwnExtraAttempts;
    Budget.Changed.fill(true);
  }
  return {Requests, Use};
}

void fleet_budgets::chargePeers(const service_total &Growth, boot_time Now) {
  budget &Budget = Budgets[Growth.Key];
  Budget.ExtraAttempts.chargePeers(
      Uses, static_cast<double>(Growth.ExtraAttempts), Now);
  interval &Interval = intervalAt(Budget, Now);
  Interval.Requests += static_cast<double>(Growth.Requests);
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
        {Key, Budget.Requests, Budget.OwnExtraAttempts, Budget.Failed});
  }
  return Totals;
}

} // namespace magnolia::fleet
