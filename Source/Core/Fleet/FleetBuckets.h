#pragma once

#include <array>
#include <chrono>
#include <cstdint>
#include <string_view>
#include <vector>

#include <absl/container/flat_hash_map.h>

#include "Fleet/FleetMessage.h"

namespace magnolia::fleet {

/// A workspace's limits over the whole fleet.
struct workspace_rate {
  /// Requests per second; zero: no limit.
  double PerSecond = 0;
  double Burst = 0;
};

/// How strictly the fleet enforces a rate.
struct bucket_settings {
  /// Requests that the whole fleet may admit beyond rate and burst, so that a
  /// request within the rate is not refused because peers' totals are a few
  /// hundred milliseconds old.
  double UpdateDelayMargin = 6;
  /// In any time of this length the fleet must not admit more beyond rate and
  /// burst than this fraction of them and this number of requests. Many
  /// instances with late reports may admit more than that at first, and then
  /// less until it is made up for.
  duration Window = std::chrono::seconds(5);
  double MaxExcessFraction = 0.1;
  double MaxExcess = 20;
};

/// The result of fleet_buckets::admit().
struct admission_decision {
  bool Admitted = true;
  /// Estimated time until a token is available; zero if admitted.
  duration RetryAfter{0};
  /// Tokens left in the bucket, for the log.
  double Tokens = 0;
};

/// One instance's replica of each workspace's token bucket. It charges its own
/// admissions at once and those of peers when their totals arrive, so all
/// replicas agree up to the delay of the updates. A bucket may fall below zero
/// by what peers admitted in the meantime; the rate pays this back. While the
/// bucket is empty, each instance admits by its own fraction of the rate: if
/// all waited for the shared bucket, all would admit at once as soon as it has
/// a token, and none for long afterwards. An instance that reaches only a
/// fraction of the fleet uses that fraction of rate and burst, since the others
/// may admit unseen. Load pattern: one workspace that sends eight times its
/// rate over all instances, also while some are cut off. Reads no clock; not
/// thread-safe.
class fleet_buckets {
public:
  explicit fleet_buckets(const bucket_settings &Settings)
      : Settings(Settings) {}

  /// Admits one request of the workspace \p Key if its bucket allows. \p
  /// ReachableFraction: the fraction of the fleet that is reachable, this
  /// instance included; \p OwnFraction: this instance's fraction of the fleet.
  admission_decision admit(uint32_t Key, const workspace_rate &Rate,
                           double ReachableFraction, boot_time Now,
                           double OwnFraction = 0);

  /// Charges \p Requests that peers admitted for the workspace.
  void chargePeers(uint32_t Key, uint64_t Requests, boot_time Now);

  /// Charges \p Requests that a peer had admitted before its first message, at
  /// unknown times. This takes at most the tokens in the bucket and never
  /// lowers it below zero, since the rate has already paid for most of these
  /// requests.
  void chargeEarlier(uint32_t Key, uint64_t Requests, boot_time Now);

  /// Returns the totals of this instance's admissions that changed since the
  /// last call for \p Audience, or all of them if \p Everything.
  std::vector<workspace_total> collectTotals(audience Audience,
                                             bool Everything);

private:
  struct bucket {
    double Tokens = 0;
    bool Filled = false;
    /// Requests charged by chargeEarlier() before the bucket was filled.
    double Earlier = 0;
    boot_time Updated;
    uint64_t Admitted = 0;
    std::array<uint64_t, AudienceCount> Reported{};
    /// Tokens earned by this instance's own fraction of the rate while the
    /// shared bucket is empty.
    double OwnTokens = 0;
  };

  /// The fraction of its own part of the rate at which an instance admits while
  /// the bucket is empty. \p Rate: of the reachable fleet; \p Debt: tokens that
  /// the bucket lacks.
  double ownFraction(const workspace_rate &Rate, double Debt) const;
  /// Adds to OwnTokens what \p OwnRate, in requests per second, gives in \p
  /// Passed seconds.
  static void accrueOwnTokens(bucket &Bucket, double OwnRate, double Passed);

  const bucket_settings Settings;
  absl::flat_hash_map<uint32_t, bucket> Buckets;
};

} // namespace magnolia::fleet
