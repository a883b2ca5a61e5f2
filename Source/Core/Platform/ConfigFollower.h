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
  /// Mean time between two polls of the head by a small fleet.
  std::chrono::microseconds PollInterval = std::chrono::seconds(1);
  /// A larger fleet polls more rarely, so that together it stays below this.
  double FleetPollsPerSecond = 400;
  /// A poll without an outcome for this long is given up.
  std::chrono::microseconds PollTimeout = std::chrono::seconds(5);
  /// Mean time between two rounds of asking peers.
  std::chrono::microseconds QueryInterval = std::chrono::seconds(1);
  /// Peers asked in a round, and told at once of a new version.
  size_t Fanout = 3;
  /// Bytes of configuration in one message.
  size_t ChunkBytes = size_t{128} * 1024;
};

/// Decisions come out through these. None may call the follower back, except
/// that PollHead and FetchObject may hand in their outcome at once.
struct follower_hooks {
  /// Reads the head row; the outcome goes to onHead with \p Poll.
  std::function<void(uint64_t Poll)> PollHead;
  /// Reads an object; the outcome goes to onObject with \p Attempt.
  std::function<void(uint64_t Attempt, const std::string &Digest)> FetchObject;
  std::function<void(const std::string &Peer, const config_message &)> Send;
  /// Puts a later version in force.
  std::function<void(contract::snapshot_ptr)> Apply;
  /// Uniform random bits.
  std::function<uint64_t()> Random;
};

/// Totals since the start.
struct follower_counters {
  uint64_t Polls = 0;
  uint64_t PollFailures = 0;
  uint64_t FetchFailures = 0;
  /// Heads that were lower than, or differed from, the version in force.
  uint64_t Regressions = 0;
  uint64_t Applied = 0;
};

/// Follows the configuration from the table and from peers. It never puts a
/// lower version in force. Free of clocks and sockets; not thread-safe.
class config_follower {
public:
  using time = common::boot_time;

  config_follower(follower_settings Settings, follower_hooks Hooks);

  /// Sets the names of the other instances that are thought to live. While the
  /// knowledge of the configuration is not fresh none is dropped, and as many
  /// are counted as any peer counts: instances that are cut off from the others
  /// must not become a majority by forgetting or never having known them.
  /// Silence must take longer than the staleness bound to end an instance here.
  void setPeers(std::vector<std::string> Peers);

  /// Polls, asks and fetches whatever is due; call every 100 ms or so.
  void advance(time Now);

  void onHead(time Now, uint64_t Poll, const absl::StatusOr<config_head> &Head);
  void onObject(time Now, uint64_t Attempt,
                const absl::StatusOr<std::string> &Bytes);
  void onMessage(time Now, const std::string &Peer,
                 const config_message &Message);

  /// The snapshot in force; null before the first one, when nothing may be
  /// served.
  const contract::snapshot_ptr &current() const { return Current; }

  /// Keyed requests may be served up to this time. Compare it with the clock at
  /// each request, so that a paused process refuses when it goes on.
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
  /// The encoded form of Current, kept while peers fetch it.
  std::string Encoded;
  std::string CurrentDigest;
  time EncodedUntil;
  /// Peers in a random order, asked in turn.
  std::vector<std::string> Ring;
  size_t NextInRing = 0;
  /// The most peers that others told while the knowledge was not fresh.
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
