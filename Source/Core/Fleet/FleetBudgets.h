#pragma once

#include <array>
#include <cstdint>
#include <vector>

#include <absl/container/flat_hash_map.h>

#include "Fleet/FleetMessage.h"

namespace magnolia::fleet {

/// Bounds on second sends to a service, over the whole fleet.
struct budget_settings {
  /// Second sends for each request in the window.
  double Ratio = 0.2;
  /// Second sends in the window beside those.
  double Slack = 20;
  duration Window = std::chrono::seconds(10);
  /// The part of the bound that is used: news of peers is late.
  double UsableFraction = 0.75;
  /// The part of the slack that an instance uses in its first window, in which
  /// the sends of its predecessors still count and nobody tells it of them.
  double FirstWindowSlackFraction = 0.2;
};

/// How a service fared over the fleet in the last moments.
struct service_stats {
  /// Requests a second.
  double Rate = 0;
  /// The part of them that ended without success.
  double FailedFraction = 0;
};

/// The budget for second sends of each service, in a sliding window of the
/// fleet's totals, and the share of requests that fail. Load pattern: all
/// targets of a service refuse half of their requests, so that unbounded
/// retries would double the load; again while many instances start anew. Free
/// of clocks; not thread-safe.
class fleet_budgets {
public:
  /// \p Started: when this instance began to count.
  explicit fleet_budgets(const budget_settings &Settings, boot_time Started)
      : Settings(Settings), Started(Started) {}

  /// A request came in.
  void countRequest(uint32_t Service, boot_time Now);

  /// A request ended without success.
  void countFailed(uint32_t Service, boot_time Now);

  /// The record of about the last two seconds.
  service_stats statsOf(uint32_t Service, boot_time Now);

  /// Takes the right to a second send, if the budget has one left.
  /// \p ReachableFraction: the part of the fleet whose sends are known here.
  bool tryExtraAttempt(uint32_t Service, double ReachableFraction,
                       boot_time Now);

  /// What a peer's totals grew by.
  void chargePeers(const service_total &Growth, boot_time Now);

  /// Totals of this instance that changed since the last call for \p Audience,
  /// all of them if \p Everything.
  std::vector<service_total> collectTotals(audience Audience, bool Everything);

private:
  /// The window is cut into this many parts.
  static constexpr size_t IntervalCount = 20;

  struct interval {
    int64_t Number = -1;
    double Requests = 0;
    double ExtraAttempts = 0;
    double Failed = 0;
  };

  struct budget {
    std::array<interval, IntervalCount> Window;
    uint64_t Requests = 0;
    uint64_t ExtraAttempts = 0;
    uint64_t Failed = 0;
    std::array<bool, AudienceCount> Changed{};
  };

  interval &intervalAt(budget &Budget, boot_time Now) const;
  int64_t intervalNumber(boot_time Now) const;

  const budget_settings Settings;
  const boot_time Started;
  absl::flat_hash_map<uint32_t, budget> Budgets;
};

} // namespace magnolia::fleet
