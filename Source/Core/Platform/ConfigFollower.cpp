#include "Platform/ConfigFollower.h"

#include <algorithm>

#include "Common/Digest.h"
#include "Common/Log.h"
#include "Contract/Codec.h"

namespace magnolia::platform {
namespace {

using std::chrono::microseconds;

/// The cached encoded configuration is dropped when no peer fetched it for this
/// long.
constexpr std::chrono::seconds EncodedLifetime(30);

fetcher_hooks fetcherHooks(const follower_hooks &Hooks) {
  fetcher_hooks Fetch;
  Fetch.FetchObject = Hooks.FetchObject;
  Fetch.Send = Hooks.Send;
  Fetch.Random = Hooks.Random;
  return Fetch;
}

} // namespace

config_follower::config_follower(follower_settings Settings,
                                 follower_hooks FollowerHooks)
    : Settings(Settings), Hooks(std::move(FollowerHooks)),
      Freshness(Settings.Freshness),
      Fetcher(Settings.Fetch,
              [this] {
                fetcher_hooks Fetch = fetcherHooks(Hooks);
                Fetch.Done = [this](uint64_t Version,
                                    const std::string &Bytes) {
                  install(Version, Bytes);
                };
                return Fetch;
              }()),
      // Random start: a delayed reply to a previous process of this instance
      // must not match.
      LastNonce(Hooks.Random()) {}

void config_follower::setPeers(std::vector<std::string> Peers) {
  if (isFresh())
    ReportedPeers = 0;
  else
    Peers.insert(Peers.end(), Ring.begin(), Ring.end());
  std::sort(Peers.begin(), Peers.end());
  Peers.erase(std::unique(Peers.begin(), Peers.end()), Peers.end());
  std::vector<std::string> Sorted = Ring;
  std::sort(Sorted.begin(), Sorted.end());
  if (Peers == Sorted) {
    updatePeerCount(0);
    return;
  }
  for (size_t Left = Peers.size(); Left > 1; --Left)
    std::swap(Peers[Left - 1], Peers[Hooks.Random() % Left]);
  Ring = std::move(Peers);
  NextInRing = 0;
  updatePeerCount(0);
}

void config_follower::updatePeerCount(uint64_t Reported) {
  if (!isFresh())
    ReportedPeers = std::max(ReportedPeers, Reported);
  Freshness.setPeerCount(std::max<size_t>(Ring.size(), ReportedPeers));
}

bool config_follower::isFresh() const {
  const auto Since = Freshness.latestSince();
  return Since && LastAdvance <= *Since + Settings.Freshness.StaleAfter;
}

void config_follower::advance(time Now) {
  LastAdvance = Now;
  pollIfDue(Now);
  queryIfDue(Now);
  Fetcher.advance(Now);
  if (!Encoded.empty() && Now >= EncodedUntil)
    Encoded = std::string();
}

microseconds config_follower::jittered(microseconds Mean) const {
  const auto Span = static_cast<uint64_t>(Mean.count());
  if (Span == 0)
    return Mean;
  return microseconds(static_cast<int64_t>(Span / 2 + Hooks.Random() % Span));
}

microseconds config_follower::pollInterval() const {
  const double Fleet = static_cast<double>(Ring.size() + 1);
  const double Seconds = Fleet / Settings.FleetPollsPerSecond;
  return std::max(Settings.PollInterval,
                  microseconds(static_cast<int64_t>(Seconds * 1e6)));
}

void config_follower::pollIfDue(time Now) {
  if (PollStarted && Now >= *PollStarted + Settings.PollTimeout) {
    ++Counters.PollFailures;
    PollStarted.reset();
  }
  if (PollStarted || Now < NextPoll)
    return;
  PollStarted = Now;
  NextPoll = Now + jittered(pollInterval());
  ++Counters.Polls;
  Hooks.PollHead(++LastPoll);
}

void config_follower::onHead(time Now, uint64_t Poll,
                             const absl::StatusOr<config_head> &Head) {
  if (!PollStarted || Poll != LastPoll)
    return;
  const time Started = *PollStarted;
  PollStarted.reset();
  if (!Head.ok()) {
    ++Counters.PollFailures;
    return;
  }
  if (Head->Version == 0 && !Current)
    return;
  const uint64_t InForce = Current ? Current->version() : 0;
  if (Head->Version < InForce ||
      (Head->Version == InForce && Head->Digest != CurrentDigest)) {
    ++Counters.Regressions;
    return;
  }
  Freshness.addClaim(Head->Version, Started);
  learnVersion(Now, Head->Version, Head->Digest, "");
}

void config_follower::learnVersion(time Now, uint64_t Version,
                                   const std::string &Digest,
                                   const std::string &Holder) {
  if (Version <= (Current ? Current->version() : 0))
    return;
  Freshness.addKnownVersion(Version, Now);
  Fetcher.request(Now, Version, Digest, Holder);
}

void config_follower::install(uint64_t Version, const std::string &Bytes) {
  auto Configuration = contract::decode(Bytes);
  if (!Configuration.ok() || Configuration->Version != Version) {
    common::log(common::log_level::Error, "Platform",
                "configuration cannot be read",
                {{"version", std::to_string(Version)}});
    return;
  }
  if (Current && Current->version() >= Version)
    return;
  Current =
      std::make_shared<const contract::snapshot>(*std::move(Configuration));
  CurrentDigest = common::sha256Hex(Bytes);
  Encoded = std::string();
  ++Counters.Applied;
  Freshness.setApplied(Version);
  Fetcher.cancelUpTo(Version);
  Hooks.Apply(Current);
  announce();
}

void config_follower::announce() {
  for (const std::string &Peer : nextPeers())
    Hooks.Send(
        Peer,
        config_claim{0, Current->version(), CurrentDigest, {}, Ring.size()});
}

std::vector<std::string> config_follower::nextPeers() {
  std::vector<std::string> Peers;
  const size_t Count = std::min(Settings.Fanout, Ring.size());
  for (size_t Index = 0; Index < Count; ++Index) {
    Peers.push_back(Ring[NextInRing]);
    NextInRing = (NextInRing + 1) % Ring.size();
  }
  return Peers;
}

void config_follower::queryIfDue(time Now) {
  if (Now < NextQuery)
    return;
  NextQuery = Now + jittered(Settings.QueryInterval);
  dropOldQueries(Now);
  for (const std::string &Peer : nextPeers())
    queryPeer(Now, Peer);
}

void config_follower::queryPeer(time Now, const std::string &Peer) {
  // Zero marks an unsolicited claim.
  if (++LastNonce == 0)
    ++LastNonce;
  Queries[LastNonce] = {Peer, Now};
  Freshness.addQueried(Peer);
  Hooks.Send(Peer, config_query{LastNonce, Current ? Current->version() : 0});
}

void config_follower::dropOldQueries(time Now) {
  absl::erase_if(Queries, [&](const auto &Entry) {
    return Now - Entry.second.QueriedAt > Settings.Freshness.StaleAfter;
  });
}

void config_follower::onObject(time Now, uint64_t Attempt,
                               const absl::StatusOr<std::string> &Bytes) {
  Fetcher.onObject(Now, Attempt, Bytes);
}

void config_follower::onMessage(time Now, const std::string &Peer,
                                const config_message &Message) {
  std::visit([&](const auto &Typed) { handle(Now, Peer, Typed); }, Message);
}

config_claim config_follower::makeClaim(time Now, uint64_t Nonce) const {
  config_claim Claim;
  Claim.Nonce = Nonce;
  Claim.Peers = std::max<uint64_t>(Ring.size(), ReportedPeers);
  if (!Current)
    return Claim;
  Claim.Version = Current->version();
  Claim.Digest = CurrentDigest;
  if (const auto Since = Freshness.latestSince())
    Claim.Age = Now - *Since;
  return Claim;
}

void config_follower::handle(time Now, const std::string &Peer,
                             const config_query &Query) {
  Hooks.Send(Peer, makeClaim(Now, Query.Nonce));
  if (Query.Version > (Current ? Current->version() : 0))
    queryPeer(Now, Peer);
}

void config_follower::handle(time Now, const std::string &Peer,
                             const config_claim &Claim) {
  if (Claim.Version == 0)
    return;
  const auto Query = Queries.find(Claim.Nonce);
  if (Query != Queries.end() && Query->second.Peer == Peer) {
    const time QueriedAt = Query->second.QueriedAt;
    Queries.erase(Query);
    updatePeerCount(Claim.Peers);
    // The reply was sent after the query, so its age counts from the query.
    if (Claim.Age && *Claim.Age >= microseconds::zero())
      Freshness.addClaim(Claim.Version, QueriedAt - *Claim.Age);
    Freshness.addConfirmation(Peer, Claim.Version, QueriedAt);
  }
  learnVersion(Now, Claim.Version, Claim.Digest, Peer);
}

void config_follower::handle(time Now, const std::string &Peer,
                             const config_fetch &Fetch) {
  if (!Current || Fetch.Digest != CurrentDigest)
    return;
  if (Encoded.empty()) {
    Encoded = contract::encode(Current->content());
    // A newer release may have written fields that this one does not know, so
    // the digest differs and the configuration cannot be served to peers.
    if (common::sha256Hex(Encoded) != CurrentDigest) {
      Encoded = std::string();
      return;
    }
  }
  EncodedUntil = Now + EncodedLifetime;
  if (Fetch.Offset >= Encoded.size())
    return;
  Hooks.Send(Peer,
             config_chunk{Fetch.Digest, Fetch.Offset, Encoded.size(),
                          Encoded.substr(Fetch.Offset, Settings.ChunkBytes)});
}

void config_follower::handle(time Now, const std::string &Peer,
                             const config_chunk &Chunk) {
  Fetcher.onChunk(Now, Peer, Chunk);
}

follower_counters config_follower::counters() const {
  follower_counters Totals = Counters;
  Totals.FetchFailures = Fetcher.failures();
  return Totals;
}

} // namespace magnolia::platform
