#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <absl/container/flat_hash_map.h>
#include <absl/status/statusor.h>

#include "Common/Time.h"
#include "Contract/Snapshot.h"
#include "Platform/ConfigFetcher.h"
#include "Platform/ConfigFreshness.h"
#include "Platform/ConfigMessage.h"
#include "Platform/ConfigStore.h"

namespace magnolia::platform {

struct follower_settings {
  freshness_settings Freshness;
  fetcher_settings Fetch;
  /// Mean time between two polls of the head row in a small fleet.
  std::chrono::microseconds PollInterval = std::chrono::seconds(1);
  /// Upper bound for the whole fleet; instances of a larger one poll less
  /// often.
  double FleetPollsPerSecond = 400;
  /// A poll without a result for this long counts as failed.
  std::chrono::microseconds PollTimeout = std::chrono::seconds(5);
  /// Mean time between two rounds of queries to peers.
  std::chrono::microseconds QueryInterval = std::chrono::seconds(1);
  /// Peers queried per round, and notified at once of a new version.
  size_t Fanout = 3;
  /// Maximum bytes of configuration in one message.
  size_t ChunkBytes = size_t{128} * 1024;
};

/// Actions of the follower. Hooks must not call back into the follower, except
/// that PollHead and FetchObject may deliver their result synchronously.
struct follower_hooks {
  /// Reads the head row; the result is passed to onHead with \p Poll.
  std::function<void(uint64_t Poll)> PollHead;
  /// Reads an object; the result is passed to onObject with \p Attempt.
  std::function<void(uint64_t Attempt, const std::string &Digest)> FetchObject;
  std::function<void(const std::string &Peer, const config_message &)> Send;
  /// Activates a later version.
  std::function<void(contract::snapshot_ptr)> Apply;
  /// Uniform random bits.
  std::function<uint64_t()> Random;
};

/// Totals since the process started.
struct follower_counters {
  uint64_t Polls = 0;
  uint64_t PollFailures = 0;
  uint64_t FetchFailures = 0;
  /// Head rows with a version below the one in force, or with the same version
  /// and another digest. They are ignored.
  uint64_t Regressions = 0;
  uint64_t Applied = 0;
};

/// Follows the configuration through the table and peers, and activates each
/// later version, never an earlier one. Uses no clock or socket of its own; not
/// thread-safe.
class config_follower {
public:
  using time = common::boot_time;

  config_follower(follower_settings Settings, follower_hooks Hooks);

  /// Sets the names of the other instances that are believed to be alive. While
  /// the configuration is not known to be fresh, no peer is dropped, and the
  /// peer count is the largest that any peer reports: isolated instances must
  /// not become a majority by dropping the others or by never having known
  /// them. The time after which a silent instance is dropped must exceed the
  /// staleness bound.
  void setPeers(std::vector<std::string> Peers);

  /// Starts polls, queries and downloads that are due; call about every 100 ms.
  void advance(time Now);

  void onHead(time Now, uint64_t Poll, const absl::StatusOr<config_head> &Head);
  void onObject(time Now, uint64_t Attempt,
                const absl::StatusOr<std::string> &Bytes);
  void onMessage(time Now, const std::string &Peer,
                 const config_message &Message);

  /// The snapshot in force; null before the first one, while no request may be
  /// served.
  const contract::snapshot_ptr &current() const { return Current; }

  /// Keyed requests may be served until this time. Compare it with the clock
  /// for each request, so that a process that was paused rejects them on
  /// resuming.
  time keyedUntil() const { return Freshness.keyedUntil(); }

  follower_counters counters() const;

private:
  struct pending_query {
    std::string Peer;
    time QueriedAt;
  };

  bool isFresh() const;
  void updatePeerCount(uint64_t Reported);
  void pollIfDue(time Now);
  void queryIfDue(time Now);
  void queryPeer(time Now, const std::string &Peer);
  void dropOldQueries(time Now);
  void learnVersion(time Now, uint64_t Version, const std::string &Digest,
                    const std::string &Holder);
  void install(uint64_t Version, const std::string &Bytes);
  void announce();
  config_claim makeClaim(time Now, uint64_t Nonce) const;
  std::vector<std::string> nextPeers();
  std::chrono::microseconds jittered(std::chrono::microseconds Mean) const;
  std::chrono::microseconds pollInterval() const;

  void handle(time Now, const std::string &Peer, const config_query &Query);
  void handle(time Now, const std::string &Peer, const config_claim &Claim);
  void handle(time Now, const std::string &Peer, const config_fetch &Fetch);
  void handle(time Now, const std::string &Peer, const config_chunk &Chunk);

  follower_settings Settings;
  follower_hooks Hooks;
  config_freshness Freshness;
  config_fetcher Fetcher;
  follower_counters Counters;
  contract::snapshot_ptr Current;
  /// The encoded form of Current, cached while peers fetch it.
  std::string Encoded;
  std::string CurrentDigest;
  time EncodedUntil;
  /// Peers in random order, queried round-robin.
  std::vector<std::string> Ring;
  size_t NextInRing = 0;
  /// Largest peer count reported by a peer while the configuration was not
  /// known to be fresh.
  uint64_t ReportedPeers = 0;
  absl::flat_hash_map<uint64_t, pending_query> Queries;
  uint64_t LastNonce;
  uint64_t LastPoll = 0;
  time LastAdvance = time::min();
  std::optional<time> PollStarted;
  time NextPoll = time::min();
  time NextQuery = time::min();
};

} // namespace magnolia::platform
