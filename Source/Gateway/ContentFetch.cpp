#include "Gateway/ContentFetch.h"

#include <utility>

#include "Common/Log.h"

namespace magnolia::gateway {

using common::log_level;
using fleet::fetch_result;

void content_fetch::request(bool MayArrive) {
  const bool Knew = Plan.isBehind();
  Plan.begin(MayArrive, Loop.now(), Random);
  if (!Knew)
    decide();
}

void content_fetch::onChange() {
  if (!Plan.isBehind() || Hooks.IsMissing())
    return;
  // One of them may be running this very function.
  for (auto &[Peer, Fetch] : std::exchange(Fetches, {})) {
    logEnd(Peer, "not_needed", Fetch->startedAt());
    Fetch->stop();
    Loop.retire(std::shared_ptr<peer_fetch>(std::move(Fetch)));
  }
  Plan.end();
  Loop.cancel(Timer);
  TimerSet = false;
}

bool content_fetch::needsStore() const {
  return Plan.isBehind() && Plan.needsStore(rank(), Loop.now());
}

size_t content_fetch::rank() const {
  return fleet::decideReader(Peers, Settings.Identity, Settings.Readers,
                             Loop.now(), Settings.Identity.FailureDomain)
      .ReachableBefore;
}

std::vector<fleet::fetch_source> content_fetch::sources() const {
  std::vector<fleet::fetch_source> Sources;
  const boot_time Now = Loop.now();
  for (const auto &[PeerName, Peer] : Peers.peers())
    if (Peers.isReachable(Peer, Now) && Hooks.Has(Peer))
      Sources.push_back({PeerName, isNear(Peer)});
  return Sources;
}

void content_fetch::decide() {
  // What was missing may have arrived by itself.
  onChange();
  if (!Plan.isBehind())
    return;
  const fleet::fetch_step Step =
      Plan.decide(sources(), rank(), Loop.now(), Random);
  if (!Step.GiveUp.empty())
    giveUp(Step.GiveUp);
  if (!Step.Ask.empty())
    ask(Step.Ask);
  decideAt(Step.DecideAt);
}

void content_fetch::decideAt(boot_time When) {
  if (TimerSet)
    Loop.cancel(Timer);
  TimerSet = true;
  Timer = Loop.callAfter(
      std::max<duration>(When - Loop.now(), duration::zero()), [this] {
        TimerSet = false;
        decide();
      });
}

void content_fetch::ask(const std::string &PeerName) {
  const auto Found = Peers.peers().find(PeerName);
  if (Found == Peers.peers().end())
    return;
  auto Fetch = std::make_unique<peer_fetch>(Loop);
  peer_fetch::hooks FetchHooks;
  FetchHooks.OnProgress = [this, PeerName] {
    Plan.onBytes(PeerName, Loop.now());
  };
  FetchHooks.OnEnd = [this, PeerName, AskedAt = Loop.now()](
                         fetch_end End, const std::string &Body) {
    onEnd(PeerName, End, Body, AskedAt);
  };
  peer_fetch &Started = *Fetch;
  Fetches[PeerName] = std::move(Fetch);
  Started.start(Found->second.Identity.PeerAddress, Hooks.Path(),
                std::move(FetchHooks));
}

void content_fetch::giveUp(const std::string &PeerName) {
  const auto Found = Fetches.find(PeerName);
  if (Found == Fetches.end())
    return;
  logEnd(PeerName, "given_up", Found->second->startedAt());
  Found->second->stop();
  Fetches.erase(Found);
}

void content_fetch::onEnd(const std::string &PeerName, fetch_end End,
                          std::string_view Body, boot_time AskedAt) {
  const auto Found = Fetches.find(PeerName);
  if (Found != Fetches.end()) {
    // It is running this function.
    Loop.retire(std::shared_ptr<peer_fetch>(std::move(Found->second)));
    Fetches.erase(Found);
  }
  const auto Peer = Peers.peers().find(PeerName);
  const bool FromNear = Peer != Peers.peers().end() && isNear(Peer->second);
  std::string_view Outcome = nameOf(End);
  fetch_result Result = fetch_result::Failed;
  if (End == fetch_end::Refused)
    Result = fetch_result::Refused;
  if (End == fetch_end::Received && Hooks.Apply(Body, FromNear))
    Result = fetch_result::Received;
  else if (End == fetch_end::Received)
    Outcome = "unusable";
  logEnd(PeerName, Outcome, AskedAt);
  if (Result == fetch_result::Received)
    onChange();
  Plan.onResult(PeerName, Result, Loop.now());
  decide();
}

void content_fetch::logEnd(const std::string &PeerName,
                           std::string_view Outcome, boot_time AskedAt) const {
  const auto MillisSince = [Now = Loop.now()](boot_time Time) {
    return std::chrono::duration_cast<std::chrono::milliseconds>(Now - Time)
        .count();
  };
  const bool Received = Outcome == nameOf(fetch_end::Received);
  const fleet::store_position Known = Hooks.Known();
  const fleet::store_position Newest = Hooks.Newest();
  common::log(
      Received ? log_level::Info : log_level::Warning, "Store",
      "table asked of a peer",
      {{"table", Name},
       {"peer", PeerName},
       {"outcome", Outcome},
       {"took_ms", MillisSince(AskedAt)},
       {"behind_ms", MillisSince(Plan.behindSince().value_or(Loop.now()))},
       {"known_era", Known.Era},
       {"known_version", Known.Version},
       {"newer_era", Newest.Era},
       {"newer_version", Newest.Version}});
}

} // namespace magnolia::gateway
