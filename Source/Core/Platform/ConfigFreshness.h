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
  /// Keyed requests are refused once the knowledge is older than this.
  std::chrono::microseconds StaleAfter = std::chrono::seconds(8);
  /// Peers asked last of which, with this instance, a majority must vouch.
  size_t MaxSample = 15;
};

/// The staleness rule: until when an instance may serve keyed requests by what
/// it heard. Two ways lead there:
/// - Fresh: the table, or a chain of peers that ends at it, showed lately that
///   no version later than the one in force was accepted.
/// - Vouched: a majority of the peers asked last, with this instance, answered
///   lately and know of no later version. This carries the fleet through an
///   outage of the platform.
/// An instance that knows of a later version and cannot get it stops also.
class config_freshness {
public:
  using time = common::boot_time;

  explicit config_freshness(freshness_settings Settings = {})
      : Settings(Settings) {}

  /// Sets how many peers there are.
  void setPeerCount(size_t Count) { PeerCount = Count; }

  /// The head named \p Version at some time not before \p Since.
  void addClaim(uint64_t Version, time Since);

  /// \p Peer is being asked. It drops out of the sample when MaxSample others
  /// were asked since.
  void addQueried(const std::string &Peer);

  /// \p Peer, asked at \p QueriedAt, answered that it has \p Version.
  void addConfirmation(const std::string &Peer, uint64_t Version,
                       time QueriedAt);

  /// \p Version is known to exist.
  void addKnownVersion(uint64_t Version, time Now);

  /// \p Version came into force here.
  void setApplied(uint64_t Version);

  /// When the version in force was last known to be the latest, if ever.
  std::optional<time> latestSince() const { return LatestSince; }

  /// Whether a version later than the one in force is known.
  bool isBehind() const { return Newest > Applied; }

  /// Keyed requests may be served up to this time.
  time keyedUntil() const;

private:
  std::optional<time> confirmedSince() const;

  freshness_settings Settings;
  size_t PeerCount = 0;
  uint64_t Applied = 0;
  uint64_t Newest = 0;
  time BehindSince;
  std::optional<time> LatestSince;
  /// Claims of versions that are not in force here yet.
  std::map<uint64_t, time> PendingClaims;
  /// The peers asked last, each once, the latest at the back.
  std::deque<std::string> Sample;
  absl::flat_hash_map<std::string, time> Confirmations;
};

} // namespace magnolia::platform
