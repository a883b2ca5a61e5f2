#include <algorithm>
#include <utility>

#include <absl/container/flat_hash_set.h>

#include "Common/Log.h"
#include "Gateway/Gateway.h"
#include "Gateway/RequestLog.h"
#include "Net/Event/Address.h"

// What an instance learns of its targets from requests, and its connections to
// them.

namespace magnolia::gateway {
namespace {

using common::log_level;

constexpr std::string_view Component = "Gateway";
constexpr std::chrono::milliseconds ArrivalResetDelay{25};
/// How often the targets to watch are divided among the instances again.
constexpr std::chrono::milliseconds WatchDivisionLifetime{200};
/// A peer that sent nothing for this long watches nothing.
constexpr std::chrono::milliseconds WatchPeerLifetime{1200};

/// Whether the target is more likely gray than not.
bool isSuspected(const placement::target &Target, boot_time Now) {
  return Target.Fleet.probabilityAt(Now) > 0.5;
}

} // namespace

void gateway::observe(std::string_view RequestId, placement::target &Target,
                      placement::evidence Evidence, boot_time SentAt) {
  const boot_time Now = Loop.now();
  const bool WasSuspected = isSuspected(Target, Now);
  TargetSet.observe(Target, Evidence, SentAt, Now);
  const bool IsNews = !WasSuspected && isSuspected(Target, Now);
  if (Evidence != placement::evidence::Unreachable)
    Fleet->report(Target, Evidence, SentAt, IsNews);
  logEvidence(RequestId, Target, Evidence, Now - SentAt, Now);
  countOutcome(Target, Evidence);
}

void gateway::countOutcome(const placement::target &Target,
                           placement::evidence Evidence) {
  if (waitsByRank(Target.Entry.Service))
    Outcomes.count(Target.Entry.Service, Evidence, Loop.now());
}

admission::service_load gateway::loadOf(std::string_view Service,
                                        size_t RankCount) const {
  const boot_time Now = Loop.now();
  const placement::service_room Room = TargetSet.roomOf(Service, Now);
  const fleet::send_outcomes::rates Rates = Outcomes.ratesOf(Service, Now);
  admission::service_load Load;
  Load.Slots = Room.Slots;
  Load.FreeSlots = Room.FreeSlots;
  Load.TakenPerSecond = Rates.Taken;
  Load.RefusedPerSecond = Rates.Refused;
  for (size_t Rank = 0; Rank < RankCount; ++Rank)
    Load.Demand.push_back(
        Fleet->budgets().rateOf(fleet::rankKey(Service, Rank), Now));
  return Load;
}

const placement::probe_division &gateway::watchedTargets() {
  const boot_time Now = Loop.now();
  if (WatchDividedAt != boot_time() &&
      Now - WatchDividedAt < WatchDivisionLifetime)
    return WatchDivision;
  WatchDividedAt = Now;
  const auto &Own = Settings.Identity;
  std::vector<placement::probing_instance> Instances = {
      {Own.Name, Own.FailureDomain}};
  for (const auto &[Name, Peer] : Fleet->peers().peers())
    if (Peer.State == fleet::instance_state::Ready &&
        Now - Peer.LastReceived < WatchPeerLifetime)
      Instances.push_back({Name, Peer.Identity.FailureDomain});
  WatchDivision = placement::probe_division(Own.Name, Instances);
  return WatchDivision;
}

void gateway::onTargetDraining(std::string_view RequestId,
                               placement::target &Target) {
  if (Target.isDraining())
    return;
  const boot_time Now = Loop.now();
  TargetSet.observe(Target, placement::evidence::Draining, Now, Now);
  Fleet->report(Target, placement::evidence::Draining, Now, true);
  common::log(log_level::Info, Component, "target says it is draining",
              {{"id", RequestId}, {"target", Target.Entry.Id}});
}

void gateway::onTargetLimit(const placement::target &Target,
                            std::optional<double> PerSecond) {
  if (!Fleet->limits().state(Target.Key, PerSecond, Loop.now()))
    return;
  logTargetLimit(Target, PerSecond, limit_source::Target);
  Fleet->announce();
}

void gateway::onTargetWarmup(placement::target &Target,
                             std::optional<duration> Left) {
  if (!Left)
    return;
  Target.SaidWarmFrom = Loop.now() + *Left;
  updateCold(Target);
}

double gateway::coldLimitOf(const placement::target &Target) const {
  if (!Routes || Target.limitedFor(Loop.now()) == duration::zero())
    return 0;
  const routing::service *Service = Routes->serviceOf(Target.Entry.Service);
  return Service == nullptr ? 0 : Service->WarmupPerSecond;
}

void gateway::updateCold(placement::target &Target) {
  const boot_time Now = Loop.now();
  const double PerSecond = coldLimitOf(Target);
  bool Changed = false;
  if (PerSecond > 0)
    Changed = ColdTargets.put(
        {Target.Key, Target.Entry.FailureDomain, PerSecond}, Now);
  else
    Changed = ColdTargets.remove(Target.Key);
  Target.SenderFraction = ColdTargets.senderFraction(Target.Key);
  if (Changed)
    logTargetCold(Target, PerSecond, Now);
}

void gateway::updateColdTargets() {
  ColdTargets.setMembers(Fleet->registeredMembers(), Loop.now());
  absl::flat_hash_set<placement::target_key> Known;
  TargetSet.forEach([&](placement::target &Target) {
    Known.insert(Target.Key);
    updateCold(Target);
  });
  ColdTargets.keepOnly(Known);
}

void gateway::addHeldBack(std::string_view Service,
                          std::vector<placement::target_key> &Keys) {
  if (ColdTargets.size() == 0)
    return;
  const boot_time Now = Loop.now();
  const size_t Before = Keys.size();
  for (const placement::target_ref &Target : TargetSet.targetsOf(Service)) {
    const auto Next = ColdTargets.nextUse(Target->Key, Now);
    if (!Next || *Next > Now)
      Keys.push_back(Target->Key);
  }
  if (Keys.size() > Before)
    ++Counters.ColdHeldBack;
}

boot_time
gateway::takesRequestsFrom(std::string_view Service,
                           const placement::domain_filter &Domains) const {
  const boot_time Now = Loop.now();
  std::optional<boot_time> First;
  for (const placement::target_ref &Target : TargetSet.targetsOf(Service)) {
    if (!Target->isAvailable() || !Domains.allows(Target->Entry.FailureDomain))
      continue;
    const boot_time Next = std::max(
        Target->PausedUntil,
        ColdTargets.nextUse(Target->Key, Now).value_or(boot_time::max()));
    First = std::min(First.value_or(Next), Next);
  }
  return First.value_or(Now);
}

void gateway::onTargetLoad(std::string_view RequestId,
                           placement::target &Target,
                           const target_feedback &Feedback) {
  placement::target_set::tellLoad(Target, Feedback.Load, Loop.now());
  if (Feedback.InvalidLoad && !std::exchange(Target.InvalidLoadLogged, true))
    logInvalidLoad(RequestId, Target, *Feedback.InvalidLoad);
}

void gateway::divideTargets() {
  const placement::fleet_members Members = Fleet->servingMembers();
  for (const auto &Division : TargetSet.setMembers(Members))
    logDivision(Division, Members);
}

void gateway::onConnectionLost(placement::lost_connection Lost) {
  logConnectionLost(Lost, Loop.now());
  checkEnded(Lost);
  placement::target_set::observePath(*Lost.Target, placement::evidence::Broken,
                                     Lost.SentAt, Loop.now());
  if (!Losses.add(std::move(Lost)))
    return;
  Loop.callAfter(Settings.Losses.Window, [this] {
    const size_t InUse = TargetSet.ownInFlight().size();
    const auto TargetLosses = Losses.take(InUse);
    if (TargetLosses.empty())
      common::log(log_level::Warning, Component,
                  "connections to many targets lost at once",
                  {{"targets_in_use", InUse}});
    for (const placement::lost_connection &Each : TargetLosses)
      observe(Each.RequestId, *Each.Target, placement::evidence::Broken,
              Each.SentAt);
  });
}

std::shared_ptr<message::client_connection>
gateway::connectTo(const placement::target &Target) {
  const auto Address = event::parseAddress(Target.Entry.Address);
  if (!Address.ok())
    return nullptr;
  ++Counters.Connections;
  message::reader_limits Limits;
  Limits.BodyBytes = Settings.Forward.MaxResponseBytes;
  auto Connection = message::client_connection::connect(
      Loop, *Address, Limits, Memory, {Target.Entry.Service, Target.Key});
  if (Connection)
    // The deadline limits how long a target may leave a body unread.
    Connection->setKeepaliveLimits({Settings.Forward.UnacknowledgedTimeout,
                                    std::chrono::seconds(2),
                                    /*MayLackRoom=*/true});
  return Connection;
}

void gateway::checkEnded(const placement::lost_connection &Lost) {
  const boot_time Now = Loop.now();
  const fleet::ended_run Run = {Lost.Target->Key, Lost.SentAt, Now};
  const auto Before = LostRequests.remember(Lost.Fingerprint, Run);
  const bool IsKnown = Before || Fleet->quarantine().contains(Lost.Fingerprint);
  // A target that resets a single request does so on its arrival. If the
  // request ended it after all, its next attempt is lost too.
  const bool ResetOnArrival = Now - Lost.SentAt <= ArrivalResetDelay;
  if (ResetOnArrival && Lost.MayBeSentAgain && !IsKnown)
    return;
  const auto Check = [this, &Lost](const placement::target_ref &Target,
                                   const fleet::ended_run &At) {
    EndCheck.check(Target, [this, Lost, At] { onTargetEnded(Lost, At); });
  };
  Check(Lost.Target, Run);
  if (!Before || Before->Target == Run.Target)
    return;
  if (const auto Target = TargetSet.find(Before->Target))
    Check(Target, *Before);
}

void gateway::onTargetEnded(const placement::lost_connection &Lost,
                            const fleet::ended_run &Run) {
  fleet::request_quarantine &Quarantine = Fleet->quarantine();
  const boot_time Now = Loop.now();
  const bool IsNew = Quarantine.recordEnded(Lost.Fingerprint, Run, Now);
  const size_t Ended = Quarantine.endedTargets(Lost.Fingerprint);
  const auto Until = Quarantine.quarantinedUntil(Lost.Fingerprint, Now);
  logTargetEnded(Lost, Ended, Until ? *Until - Now : duration::zero());
  // A single loss is hardly ever more than chance.
  if (Ended > 1)
    Fleet->announce();
  if (IsNew)
    Fleet->storeQuarantine(Lost.Fingerprint);
}

} // namespace magnolia::gateway
