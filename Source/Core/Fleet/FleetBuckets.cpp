#include "Fleet/FleetBuckets.h"

#include <algorithm>

namespace magnolia::fleet {
namespace {

/// Approximate time in which the fleet pays back what it admitted beyond the
/// rate.
constexpr double RepaymentSeconds = 2;
/// While paying back, an instance still admits at least this fraction of its
/// own part of the rate.
constexpr double MinOwnFraction = 0.8;
/// Part of the excess that the fleet may admit above which more is paid back;
/// the rest is for what is not reported yet.
constexpr double ReportedExcess = 0.5;
/// An instance accumulates its own part of the rate for at most this time.
constexpr double OwnBurstSeconds = 0.25;

double secondsOf(duration Duration) {
  return std::chrono::duration<double>(Duration).count();
}

void deductEarlier(double &Tokens, double Earlier) {
  Tokens = std::max(Tokens - Earlier, std::min(Tokens, 0.0));
}

} // namespace

admission_decision fleet_buckets::admit(uint32_t Key,
                                        const workspace_rate &Rate,
                                        double ReachableFraction, boot_time Now,
                                        double OwnFraction) {
  bucket &Bucket = Buckets[Key];
  if (Rate.PerSecond <= 0) {
    ++Bucket.Admitted;
    return {};
  }
  const double PerSecond = Rate.PerSecond * ReachableFraction;
  const double Capacity = std::max(Rate.Burst * ReachableFraction, 1.0);
  if (!Bucket.Filled) {
    Bucket.Tokens += Capacity;
    deductEarlier(Bucket.Tokens, Bucket.Earlier);
    Bucket.Filled = true;
    if (Bucket.Updated == boot_time())
      Bucket.Updated = Now;
  }
  const double Passed = secondsOf(Now - Bucket.Updated);
  Bucket.Tokens += PerSecond * Passed;
  Bucket.Tokens = std::min(Bucket.Tokens, Capacity);
  Bucket.Updated = Now;
  // Below this threshold the bucket counts as empty for the whole fleet.
  const double OpenThreshold =
      1 - Settings.UpdateDelayMargin * ReachableFraction;
  if (Bucket.Tokens >= OpenThreshold)
    Bucket.OwnTokens = 0;
  else
    accrueOwnTokens(
        Bucket,
        Rate.PerSecond * OwnFraction *
            ownFraction({PerSecond, Capacity}, OpenThreshold - Bucket.Tokens),
        Passed);
  admission_decision Decision;
  Decision.Tokens = Bucket.Tokens;
  if (Bucket.Tokens >= OpenThreshold || Bucket.OwnTokens >= 1) {
    if (Bucket.Tokens < OpenThreshold)
      Bucket.OwnTokens -= 1;
    Bucket.Tokens -= 1;
    ++Bucket.Admitted;
    return Decision;
  }
  Decision.Admitted = false;
  Decision.RetryAfter = std::chrono::duration_cast<duration>(
      std::chrono::duration<double>((1 - Bucket.Tokens) / PerSecond));
  return Decision;
}

double fleet_buckets::ownFraction(const workspace_rate &Rate,
                                  double Debt) const {
  const double Usual =
      std::max(MinOwnFraction, 1 - Debt / (Rate.PerSecond * RepaymentSeconds));
  const double InWindow = Rate.PerSecond * secondsOf(Settings.Window);
  const double MaxExcess =
      Settings.MaxExcessFraction * (InWindow + Rate.Burst) + Settings.MaxExcess;
  const double Excess = Debt - ReportedExcess * MaxExcess;
  // Most of it is paid back within one window.
  const double IfFarAbove = 1 - Excess / (InWindow / 2);
  return std::clamp(IfFarAbove, 0.0, Usual);
}

void fleet_buckets::accrueOwnTokens(bucket &Bucket, double OwnRate,
                                    double Passed) {
  const double MaxTokens = std::max(1.0, OwnRate * OwnBurstSeconds);
  Bucket.OwnTokens = std::min(Bucket.OwnTokens + OwnRate * Passed, MaxTokens);
}

void fleet_buckets::chargePeers(uint32_t Key, uint64_t Requests,
                                boot_time Now) {
  bucket &Bucket = Buckets[Key];
  // The debt is paid back from now on, also before the first own request.
  if (Bucket.Updated == boot_time())
    Bucket.Updated = Now;
  Bucket.Tokens -= static_cast<double>(Requests);
}

void fleet_buckets::chargeEarlier(uint32_t Key, uint64_t Requests,
                                  boot_time Now) {
  bucket &Bucket = Buckets[Key];
  if (Bucket.Filled) {
    deductEarlier(Bucket.Tokens, static_cast<double>(Requests));
    return;
  }
  if (Bucket.Updated == boot_time())
    Bucket.Updated = Now;
  Bucket.Earlier += static_cast<double>(Requests);
}

std::vector<workspace_total> fleet_buckets::collectTotals(audience Audience,
                                                          bool Everything) {
  const auto Index = static_cast<size_t>(Audience);
  std::vector<workspace_total> Totals;
  for (auto &[Key, Bucket] : Buckets) {
    uint64_t &Reported = Bucket.Reported.at(Index);
    if (Bucket.Admitted == 0 || (!Everything && Bucket.Admitted == Reported))
      continue;
    Reported = Bucket.Admitted;
    Totals.push_back({Key, Bucket.Admitted});
  }
  return Totals;
}

} // namespace magnolia::fleet
