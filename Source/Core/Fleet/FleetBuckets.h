#pragma once

#include <array>
#include <chrono>
#include <cstdint>
#include <string_view>
#include <vector>

#include <absl/container/flat_hash_map.h>

#include "Fleet/FleetMessage.h"

namespace magnolia::fleet {

/// What a workspace may use over the whole fleet.
struct workspace_rate {
  /// Requests a second; zero: no limit.
  double PerSecond = 0;
  double Burst = 0;
};

/// How strictly the fleet keeps a rate.
struct bucket_settings {
  /// Requests beyond rate and burst that are admitted over the whole fleet, so
  /// that news which is some hundred milliseconds old refuses nobody wrongly.
  double UpdateDelayMargin = 6;
};

/// The answer to a request for admission.
struct admission_decision {
  bool Admitted = true;
  /// When a token may be there; zero where admitted.
  duration RetryAfter{0};
  /// Tokens that were left, for the log.
  double Tokens = 0;
};

/// Every workspace's token bucket as one instance keeps it: own admissions are
/// taken at once, those of peers when they tell of them, so that all buckets
/// agree up to the age of the news. The bucket may fall below zero by what was
/// admitted elsewhere meanwhile, which the rate then pays back. While it is
/// empty each instance admits by its own part of the rate: if all waited for
/// the common bucket, all would admit at once when it has a token again, and
/// none for long after. An instance that hears only a part of the fleet uses
/// that part of rate and burst, since the others may admit unseen. Load
/// pattern: one workspace that sends eight times its rate over all instances,
/// also while some are cut off. Free of clocks; not thread-safe.
class fleet_buckets {
public:
  explicit fleet_buckets(const bucket_settings &Settings)
      : Settings(Settings) {}

  /// Admits one request of the workspace \p Key if its bucket allows.
  /// \p ReachableFraction: the part of the fleet that is heard, this instance
  /// included; \p OwnFraction: the part that this instance is.
  admission_decision admit(uint32_t Key, const workspace_rate &Rate,
                           double ReachableFraction, boot_time Now,
                           double OwnFraction = 0);

  /// Peers admitted \p Requests of the workspace.
  void chargePeers(uint32_t Key, uint64_t Requests, boot_time Now);

  /// A peer had admitted \p Requests when it was first heard, at times that
  /// nobody tells: they take what the bucket holds, and never more, since the
  /// rate has paid for most of them already.
  void chargeEarlier(uint32_t Key, uint64_t Requests, boot_time Now);

  /// Totals of this instance's admissions that changed since the last call for
  /// \p Audience, all of them if \p Everything.
  std::vector<workspace_total> collectTotals(audience Audience,
                                             bool Everything);

private:
  struct bucket {
    double Tokens = 0;
    bool Filled = false;
    /// To take off when the bucket is filled.
    double Earlier = 0;
    boot_time Updated;
    uint64_t Admitted = 0;
    std::array<uint64_t, AudienceCount> Reported{};
    /// Of this instance's own part of the rate, while the bucket is empty.
    double OwnTokens = 0;
  };

  /// \p OwnRate and \p FleetRate in requests a second; \p Debt: what the bucket
  /// lacks; \p Passed: seconds since the last time.
  static void accrueOwnTokens(bucket &Bucket, double OwnRate, double FleetRate,
                              double Debt, double Passed);

  const bucket_settings Settings;
  absl::flat_hash_map<uint32_t, bucket> Buckets;
};

} // namespace magnolia::fleet
