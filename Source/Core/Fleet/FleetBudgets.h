#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <vector>

#include <absl/container/flat_hash_map.h>

#include "Fleet/FleetMessage.h"
#include "Fleet/UseWindow.h"

namespace magnolia::fleet {

/// An operator's limit on the second sends of each service over the whole
/// fleet.
struct second_send_limit {
  /// Second sends for each request in the window; zero allows none at all.
  double Share = 0;
  /// Second sends in the window in addition to those.
  double Allowance = 5;

  friend bool operator==(const second_send_limit &,
                         const second_send_limit &) = default;
};

/// Bounds on extra attempts (retries and hedges) to a service, over the whole
/// fleet.
struct budget_settings {
  /// Extra attempts for each request in the window.
  double Ratio = 0.2;
  /// Extra attempts in the window in addition to those.
  double Slack = 20;
  duration Window = std::chrono::seconds(10);
  /// The fraction of the bound that is used, since messages may be lost.
  double UsableFraction = 0.75;
  /// Time in which an extra attempt becomes known to all peers. In any such
  /// time an instance uses its part of what is left of the bound and no more.
  duration ReportTime = std::chrono::milliseconds(750);
  /// The fraction of the slack that an instance uses in its first window: the
  /// attempts of its predecessors still count in that window and are unknown to
  /// it.
  double FirstWindowSlackFraction = 0.2;
  /// Without it, second sends have no limit but that of all extra attempts.
  std::optional<second_send_limit> SecondSends = std::nullopt;
  /// A longer window leaves more to divide among the instances, so that a fleet
  /// with few second sends can use them where they are wanted.
  duration SecondSendWindow = std::chrono::seconds(30);
  /// The fraction of the bound on extra attempts, and of an instance's part of
  /// it, that second sends within an operator's limit leave to retries.
  double RetryReserve = 0.5;
  /// The fraction of the bound on extra attempts that the least urgent rank of
  /// a service leaves to more urgent ones; the ranks between leave less.
  double UrgentReserve = 0.5;
  /// Window of service_stats::LateFraction.
  duration LateWindow = std::chrono::seconds(2);
};

/// A service's recent requests over the whole fleet.
struct service_stats {
  /// Requests per second.
  double Rate = 0;
  /// The fraction of them that ended without success.
  double FailedFraction = 0;
  /// The fraction of the sends that took longer than usual, of those whose
  /// usual latency was known.
  double LateFraction = 0;
  /// The highest such fraction of any two seconds in the window, but for the
  /// first ones of the service, with the fraction of this instance's requests
  /// in the window that were above the rate of their workspace. What makes
  /// requests fail tends to come again.
  double PeakFailedFraction = 0;
};

/// The rank of a request among those of its service.
struct request_rank {
  /// Zero is the most urgent.
  size_t Number = 0;
  /// Ranks of the service.
  size_t Count = 1;
};

/// The result of fleet_budgets::tryExtraAttempt() and what it was decided on.
struct budget_decision {
  /// Requests of the fleet in the window, as known to this instance.
  double Requests = 0;
  /// The extra attempts, and their bound with these requests.
  use_decision Use;
};

/// The result of fleet_budgets::trySecondSend() and what it was decided on.
struct second_send_budget {
  bool Granted = false;
  /// Requests of the fleet in the window of second sends.
  double Requests = 0;
  /// Second sends, and the operator's limit with these requests.
  use_decision Limit;
  /// All extra attempts.
  use_decision Shared;
  /// Whether the reserve for retries stays untouched.
  bool LeavesRetries = false;
};

/// The budget for extra attempts of each service, in a sliding window of the
/// fleet's totals, and the fraction of requests that fail. What is left of the
/// budget is divided among the instances for the time in which their attempts
/// are unknown to each other, so that they never use it twice. Load pattern:
/// all targets of a service start to refuse most requests at the same moment,
/// and a refusal is answered by the next attempt within milliseconds, most of
/// them of the least urgent requests; also while many instances restart. Reads
/// no clock; not thread-safe.
class fleet_budgets {
public:
  /// \p Started: when this instance started counting.
  /// \p Instance: a number that differs between the instances.
  explicit fleet_budgets(const budget_settings &Settings, boot_time Started,
                         uint64_t Instance = 0)
      : Settings(Settings), Uses{Settings.Window, Settings.ReportTime,
                                 Instance},
        SecondSendUses{Settings.SecondSendWindow, Settings.ReportTime,
                       Instance},
        Started(Started), SecondSendLimit(Settings.SecondSends) {}

  void countRequest(uint32_t Service, boot_time Now);

  void countFailed(uint32_t Service, boot_time Now);

  /// Counts a send whose usual latency is known.
  void countTimedSend(uint32_t Service, boot_time Now);

  /// Counts a send that takes longer than is usual.
  void countLateSend(uint32_t Service, boot_time Now);

  /// Counts a request that was refused for its key or its workspace's rate,
  /// which says nothing of the service's targets. While they are watched it
  /// counts in PeakFailedFraction alone. Otherwise it counts as failed, since
  /// nothing but early probes finds out then which targets have recovered.
  void countRefused(uint32_t Service, bool TargetsWatched, boot_time Now);

  /// The statistics of about the last two seconds, and the highest failed
  /// fraction in the window.
  service_stats statsOf(uint32_t Service, boot_time Now);

  /// Requests per second under \p Key in about the last second.
  double rateOf(uint32_t Key, boot_time Now) const;

  /// Consumes one extra attempt of the budget, if one is left for this instance
  /// and for a request of \p Rank.
  budget_decision tryExtraAttempt(uint32_t Service, const fleet_part &Fleet,
                                  boot_time Now, const request_rank &Rank = {});

  /// Changes the operator's limit on second sends.
  void limitSecondSends(const std::optional<second_send_limit> &Limit) {
    SecondSendLimit = Limit;
  }
  const std::optional<second_send_limit> &secondSendLimit() const {
    return SecondSendLimit;
  }

  /// Consumes one second send of the operator's limit and of the budget of
  /// extra attempts, if both have one left for this instance. Load pattern: a
  /// few requests at each of many instances take long at the same moment.
  second_send_budget trySecondSend(uint32_t Service, const fleet_part &Fleet,
                                   boot_time Now);

  /// Totals of the fleet since this instance's start, as known to it.
  struct fleet_totals {
    uint64_t Requests = 0;
    uint64_t SecondSends = 0;
  };
  fleet_totals totalsOf(uint32_t Service) const;

  /// How much of the budget of a service is used.
  struct budget_state {
    /// Extra attempts per second that the budget allows over the fleet.
    double PerSecond = 0;
    /// One or more if nothing is left.
    double UsedFraction = 1;
  };
  budget_state stateOf(uint32_t Service, const fleet_part &Fleet,
                       boot_time Now);

  /// Charges \p Growth, the increase of a peer's totals.
  void chargePeers(const service_total &Growth, boot_time Now);

  /// Returns the totals of this instance that changed since the last call for
  /// \p Audience, or all of them if \p Everything.
  std::vector<service_total> collectTotals(audience Audience, bool Everything);

private:
  /// Number of intervals that the window is divided into.
  static constexpr size_t IntervalCount = 20;

  struct interval {
    int64_t Number = -1;
    double Requests = 0;
    double Failed = 0;
    /// Of this instance alone.
    double OwnRequests = 0;
    double NotAdmitted = 0;
  };

  struct budget {
    std::array<interval, IntervalCount> Window;
    /// That of the first request to this instance.
    std::optional<int64_t> FirstInterval;
    use_window ExtraAttempts;
    uint64_t Requests = 0;
    uint64_t OwnExtraAttempts = 0;
    uint64_t Failed = 0;
    use_window SecondSends;
    /// Requests in the window of second sends.
    sliding_count SecondSendRequests;
    sliding_count TimedSends;
    sliding_count LateSends;
    uint64_t OwnSecondSends = 0;
    uint64_t OwnTimedSends = 0;
    uint64_t OwnLateSends = 0;
    fleet_totals Fleet;
    std::array<bool, AudienceCount> Changed{};
  };

  /// Requests in the window that ends at \p Now.
  double requestsAt(const budget &Budget, boot_time Now) const;
  /// The part of the bound that requests of \p Rank may use.
  double usablePart(const request_rank &Rank) const;
  bool leavesRetries(const use_decision &Use) const;
  /// The number of second sends that \p Requests allow.
  double secondSendBound(double Requests, const fleet_part &Fleet,
                         boot_time Now) const;
  /// The number of extra attempts that \p Requests allow.
  double boundFor(double Requests, const fleet_part &Fleet,
                  boot_time Now) const;
  double peakFailedFraction(const budget &Budget, int64_t Current) const;
  static double notAdmittedFraction(const budget &Budget, int64_t Current);
  interval &intervalAt(budget &Budget, boot_time Now) const;
  int64_t intervalNumber(boot_time Now) const;

  const budget_settings Settings;
  const use_settings Uses;
  const use_settings SecondSendUses;
  const boot_time Started;
  std::optional<second_send_limit> SecondSendLimit;
  absl::flat_hash_map<uint32_t, budget> Budgets;
};

} // namespace magnolia::fleet
