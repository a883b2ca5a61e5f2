#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>

#include <absl/container/flat_hash_map.h>

#include "Common/Time.h"

namespace magnolia::platform {

struct freshness_settings {
  /// Keyed requests are rejected once the last proof of freshness is older.
  std::chrono::microseconds StaleAfter = std::chrono::seconds(8);
  /// Number of most recently queried peers of which, counting this instance, a
  /// majority must confirm the version.
  size_t MaxSample = 15;
};

/// Staleness rule: computes until when an instance may serve keyed requests.
/// One of two proofs within StaleAfter is enough:
/// - Fresh: the table, or a chain of peers that ends at it, showed that no
///   version later than the one in force was accepted.
/// - Confirmed: a majority of the peers queried last, counting this instance,
///   replied and knows of no later version. This keeps the fleet serving during
///   an outage of the platform.
/// An instance that knows of a later version but fails to fetch it for
/// StaleAfter also stops.
class config_freshness {
public:
  using time = common::boot_time;

  explicit config_freshness(freshness_settings Settings = {})
      : Settings(Settings) {}

  void setPeerCount(size_t Count) { PeerCount = Count; }

  /// Records that the head row named \p Version at some time at or after
  /// \p Since.
  void addClaim(uint64_t Version, time Since);

  /// Records a query to \p Peer. The peer leaves the sample once MaxSample
  /// other peers were queried after it.
  void addQueried(const std::string &Peer);

  /// Records the reply of \p Peer to a query sent at \p QueriedAt: it has
  /// \p Version in force.
  void addConfirmation(const std::string &Peer, uint64_t Version,
                       time QueriedAt);

  /// Records that \p Version exists.
  void addKnownVersion(uint64_t Version, time Now);

  /// Records that \p Version is in force at this instance.
  void setApplied(uint64_t Version);

  /// Last time at which the version in force was known to be the latest; absent
  /// if it never was.
  std::optional<time> latestSince() const { return LatestSince; }

  /// Whether a version later than the one in force is known.
  bool isBehind() const { return Newest > Applied; }

  /// Keyed requests may be served until this time.
  time keyedUntil() const;

private:
  std::optional<time> confirmedSince() const;

  freshness_settings Settings;
  size_t PeerCount = 0;
  uint64_t Applied = 0;
  uint64_t Newest = 0;
  time BehindSince;
  std::optional<time> LatestSince;
  /// Claims of versions that are not in force at this instance yet.
  std::map<uint64_t, time> PendingClaims;
  /// The peers queried last without duplicates, the most recent at the back.
  std::deque<std::string> Sample;
  absl::flat_hash_map<std::string, time> Confirmations;
};

} // namespace magnolia::platform
