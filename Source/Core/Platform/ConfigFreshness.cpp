#include "Platform/ConfigFreshness.h"

#include <algorithm>
#include <functional>
#include <vector>

namespace magnolia::platform {

void config_freshness::addClaim(uint64_t Version, time Since) {
  if (Version > Applied) {
    time &Claim = PendingClaims.try_emplace(Version, Since).first->second;
    Claim = std::max(Claim, Since);
    return;
  }
  LatestSince = std::max(LatestSince.value_or(Since), Since);
}

void config_freshness::addQueried(const std::string &Peer) {
  std::erase(Sample, Peer);
  Sample.push_back(Peer);
  if (Sample.size() <= Settings.MaxSample)
    return;
  Confirmations.erase(Sample.front());
  Sample.pop_front();
}

void config_freshness::addConfirmation(const std::string &Peer,
                                       uint64_t Version, time QueriedAt) {
  if (Version > Applied ||
      std::find(Sample.begin(), Sample.end(), Peer) == Sample.end())
    return;
  time &Confirmation = Confirmations.try_emplace(Peer, QueriedAt).first->second;
  Confirmation = std::max(Confirmation, QueriedAt);
}

void config_freshness::addKnownVersion(uint64_t Version, time Now) {
  if (Version <= Newest)
    return;
  if (!isBehind())
    BehindSince = Now;
  Newest = Version;
}

void config_freshness::setApplied(uint64_t Version) {
  Applied = std::max(Applied, Version);
  Newest = std::max(Newest, Applied);
  const auto End = PendingClaims.upper_bound(Applied);
  for (auto Claim = PendingClaims.begin(); Claim != End; ++Claim)
    addClaim(Claim->first, Claim->second);
  PendingClaims.erase(PendingClaims.begin(), End);
}

std::optional<config_freshness::time> config_freshness::confirmedSince() const {
  const size_t SampleSize = std::min(PeerCount, Settings.MaxSample);
  // With this instance SampleSize + 1 take part; more than half must agree.
  const size_t Needed = (SampleSize + 1) / 2;
  if (Needed == 0 || Confirmations.size() < Needed)
    return std::nullopt;
  std::vector<time> Times;
  for (const auto &[Peer, Time] : Confirmations)
    Times.push_back(Time);
  std::sort(Times.begin(), Times.end(), std::greater<>());
  return Times[Needed - 1];
}

config_freshness::time config_freshness::keyedUntil() const {
  if (Applied == 0)
    return time::min();
  const auto Since = std::max(LatestSince, confirmedSince());
  if (!Since)
    return time::min();
  const time Until = *Since + Settings.StaleAfter;
  return isBehind() ? std::min(Until, BehindSince + Settings.StaleAfter)
                    : Until;
}

} // namespace magnolia::platform
