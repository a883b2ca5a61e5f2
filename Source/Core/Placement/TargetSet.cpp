#include "Placement/TargetSet.h"

#include <algorithm>
#include <cmath>
#include <limits>

#include <absl/container/flat_hash_set.h>
#include <absl/random/distributions.h>

#include "Common/StringView.h"

namespace magnolia::placement {
namespace {

using common::toAbsl;

/// A peer's count of requests in flight expires after this time.
constexpr std::chrono::seconds PeerCountLifetime{2};
/// Maximum extra cost of a target that is cold: it is slow but must still get
/// some requests.
constexpr double MaxWarmupCost = 0.04;
/// A target that this instance could not connect to is not watched for this
/// long.
constexpr std::chrono::seconds LostPathPause{2};
/// Average rate of probes to a target that is due for one: about one in twelve
/// gets none within a second.
constexpr double ProbesPerSecond = 2.5;
/// Fraction of the probes that are sent to targets from this gray probability
/// on, where gray targets hang.
constexpr double RiskyProbeProbability = 0.1;
constexpr double SlowProbeFraction = 0.4;
/// Maximum fraction of a service's requests that are probes.
constexpr double MaxProbeFraction = 0.75;
/// Cost of a failed repeatable request as a fraction of its value: it can be
/// retried while the retry budget lasts.
constexpr double RepeatableFailureCost = 0.7;

double secondsOf(duration Duration) {
  return std::chrono::duration<double>(Duration).count();
}

} // namespace

void target_set::put(const target_entry &Entry, boot_time Now) {
  target_ref &Existing = ById[Entry.Id];
  const bool SameIncarnation =
      Existing && Existing->Entry.StartedUnixMs == Entry.StartedUnixMs &&
      Existing->Entry.Address == Entry.Address &&
      Existing->Entry.Service == Entry.Service;
  if (SameIncarnation) {
    // The same report may be read more than once.
    if (Entry.Sequence != Existing->Entry.Sequence ||
        Entry.WarmupLeft != Existing->Entry.WarmupLeft)
      Existing->ReportedAt = Now;
    Existing->Entry = Entry;
    Existing->Evacuated = EvacuatedDomains.contains(Entry.FailureDomain);
    return;
  }
  if (Existing)
    remove(Entry.Id);
  const auto Added = std::make_shared<target>(Entry, Settings, *Pattern);
  Added->Key = keyOf(Entry);
  Added->Evacuated = EvacuatedDomains.contains(Entry.FailureDomain);
  Added->ReportedAt = Now;
  ById[Entry.Id] = Added;
  ByKey[Added->Key] = Added;
  ByService[Entry.Service].push_back(Added);
}

void target_set::remove(std::string_view Id) {
  const auto Found = ById.find(toAbsl(Id));
  if (Found == ById.end())
    return;
  const target_ref Removed = Found->second;
  Removed->Removed = true;
  ById.erase(Found);
  ByKey.erase(Removed->Key);
  auto &Others = ByService[Removed->Entry.Service];
  std::erase(Others, Removed);
}

void target_set::setEvacuated(absl::Span<const std::string> Domains) {
  EvacuatedDomains = {Domains.begin(), Domains.end()};
  for (const auto &[Id, Target] : ById)
    Target->Evacuated = EvacuatedDomains.contains(Target->Entry.FailureDomain);
}

bool target_set::isEvacuated(std::string_view Service,
                             const domain_filter &Domains) const {
  bool Any = false;
  for (const target_ref &Target : targetsOf(Service)) {
    if (!Domains.allows(Target->Entry.FailureDomain))
      continue;
    if (Target->isAvailable())
      return false;
    Any |= !Target->isDraining();
  }
  return Any;
}

bool target_set::isOutside(std::string_view Service,
                           const domain_filter &Domains) const {
  const std::vector<target_ref> &Targets = targetsOf(Service);
  return !Targets.empty() &&
         std::none_of(Targets.begin(), Targets.end(),
                      [&](const target_ref &Target) {
                        return Domains.allows(Target->Entry.FailureDomain);
                      });
}

size_t target_set::sizeOfDomain(std::string_view Domain) const {
  return static_cast<size_t>(
      std::count_if(ById.begin(), ById.end(), [&](const auto &Entry) {
        return Entry.second->Entry.FailureDomain == Domain;
      }));
}

target_ref target_set::find(std::string_view Id) const {
  const auto Found = ById.find(toAbsl(Id));
  return Found == ById.end() ? nullptr : Found->second;
}

target_ref target_set::find(target_key Key) const {
  const auto Found = ByKey.find(Key);
  return Found == ByKey.end() ? nullptr : Found->second;
}

const std::vector<target_ref> &
target_set::targetsOf(std::string_view Service) const {
  static const std::vector<target_ref> None;
  const auto Found = ByService.find(toAbsl(Service));
  return Found == ByService.end() ? None : Found->second;
}

size_t target_set::sizeOf(std::string_view Service) const {
  return targetsOf(Service).size();
}

uint32_t target_set::reportedAt(const target &Target, boot_time Now) {
  uint32_t Count = 0;
  for (const auto &[Peer, PeerCount] : Target.Peers)
    if (Now - PeerCount.ReportedAt < PeerCountLifetime)
      Count += PeerCount.InFlight;
  return Count;
}

uint32_t target_set::inFlightAt(const target &Target, boot_time Now) const {
  return Target.OwnInFlight + reportedAt(Target, Now);
}

service_room target_set::roomOf(std::string_view Service, boot_time Now) const {
  service_room Room;
  for (const target_ref &Target : targetsOf(Service)) {
    if (!Target->isAvailable() || Now < Target->PausedUntil ||
        Target->Fleet.probabilityAt(Now) >= Settings.MaxProbeRisk)
      continue;
    const uint32_t Capacity = Target->Entry.Capacity;
    Room.Slots += Capacity;
    if (Target->Load.isFull(Now))
      continue;
    const auto Requests =
        static_cast<uint32_t>(std::lround(knownRequestsAt(*Target, Now)));
    Room.FreeSlots += Capacity - std::min(Capacity, Requests);
  }
  return Room;
}

bool target_set::isOverCapacity(const target &Target, boot_time Now) const {
  return requestsAt(Target, Now) > Target.Entry.Capacity;
}

double target_set::costOf(const target &Target, const placement_query &Query,
                          boot_time Now) const {
  return healthCostOf(Target, Query, Now) + loadCostOf(Target, Now);
}

double target_set::loadCostOf(const target &Target, boot_time Now) const {
  const double Slots = std::max<uint32_t>(Target.Entry.Capacity, 1);
  const double Utilization = (requestsAt(Target, Now) + 1) / Slots;
  return Settings.UtilizationCost * Utilization +
         Settings.BusyCost *
             std::max(0.0, Utilization - Settings.BusyUtilization);
}

double target_set::healthCostOf(const target &Target,
                                const placement_query &Query,
                                boot_time Now) const {
  const bool Untried = inFlightAt(Target, Now) == 0 &&
                       Target.Fleet.lastPositive() == boot_time() &&
                       Target.Fleet.lastFailure() == boot_time();
  double Gray = Target.Fleet.probabilityAt(Now);
  if (Untried)
    Gray *= Settings.UntriedRiskFactor;
  const double Risk = 1 - (1 - Gray) * (1 - Target.Path.probabilityAt(Now));
  double Cost = Risk * (Query.Repeatable ? RepeatableFailureCost : 1.0);
  if (Target.Entry.FailureDomain != FailureDomain)
    Cost += Settings.OtherDomainCost;
  if (Target.IdleConnections == 0)
    Cost += Settings.NewConnectionCost;
  Cost += MaxWarmupCost * std::min(1.0, secondsOf(Target.coldFor(Now)));
  return Cost;
}

bool target_set::isUsable(const target &Target, const placement_query &Query,
                          boot_time Now) {
  return Target.isAvailable() && Now >= Target.PausedUntil &&
         (Query.Domains == nullptr ||
          Query.Domains->allows(Target.Entry.FailureDomain)) &&
         std::find(Query.Tried.begin(), Query.Tried.end(), Target.Key) ==
             Query.Tried.end();
}

duration target_set::pauseAfterFailure(const placement_query &Query,
                                       size_t Excluded) const {
  if (Query.FailedFraction >= Settings.UrgentProbeFailedFraction &&
      Excluded > Settings.UrgentProbeExcluded)
    return Settings.UrgentProbeDelay;
  if (Query.FailedFraction >= Settings.EarlyProbeFailedFraction)
    return Settings.EarlyProbeDelay;
  return duration::max();
}

duration target_set::earlyProbeInterval(const placement_query &Query) const {
  if (!Query.Repeatable || Query.EarlyProbeRate <= 0 ||
      Query.FailedFraction < Settings.RepeatableProbeFailedFraction)
    return duration::max();
  return Query.FailedFraction < Settings.UrgentProbeFailedFraction
             ? Settings.RepeatableProbeInterval
             : Settings.UrgentRepeatableProbeInterval;
}

target_set::due_targets target_set::dueForProbe(const placement_query &Query,
                                                boot_time Now) const {
  due_targets Due;
  std::vector<target_ref> Excluded;
  const duration Interval = earlyProbeInterval(Query);
  for (const target_ref &Target : targetsOf(Query.Service)) {
    if (!isUsable(*Target, Query, Now))
      continue;
    if (Interval != duration::max() && isRecovering(*Target, Now)) {
      Due.Regular.push_back(Target);
      continue;
    }
    if (!isProbeDue(*Target, Now))
      continue;
    const bool IsExcluded =
        Target->Fleet.probabilityAt(Now) >= Settings.MaxProbeRisk;
    (IsExcluded ? Excluded : Due.Regular).push_back(Target);
  }
  const duration Pause = pauseAfterFailure(Query, Excluded.size());
  for (const target_ref &Target : Excluded) {
    if (Now - Target->Fleet.lastFailure() > Pause)
      Due.Regular.push_back(Target);
    else if (Now - Target->LastUsed > Interval)
      Due.Early.push_back(Target);
  }
  return Due;
}

bool target_set::isRecovering(const target &Target, boot_time Now) const {
  return Target.Fleet.lastPositive() > Target.Fleet.lastFailure() &&
         Target.Fleet.probabilityAt(Now) >= Settings.MaxProbeRisk &&
         Now - Target.LastUsed > Settings.RecoveringProbeInterval;
}

bool target_set::isProbeDue(const target &Target, boot_time Now) const {
  const bool SameDomain = Target.Entry.FailureDomain == FailureDomain;
  return Now - Target.LastUsed > (SameDomain
                                      ? Settings.ProbeInterval
                                      : Settings.OtherDomainProbeInterval);
}

double target_set::wantedProbeRate(absl::Span<const target_ref> Due) const {
  absl::flat_hash_set<std::string_view> Domains;
  for (const auto &[Id, Target] : ById)
    Domains.insert(Target->Entry.FailureDomain);
  // Targets of this domain are probed by the instances of this domain alone,
  // and cold ones by their senders, so each of these probes them more often.
  const auto OwnDomainWeight =
      static_cast<double>(std::max<size_t>(Domains.size(), 1));
  double Wanted = 0;
  for (const target_ref &Target : Due) {
    if (Target->SenderFraction < 1)
      Wanted += 1 / Target->SenderFraction;
    else
      Wanted +=
          Target->Entry.FailureDomain == FailureDomain ? OwnDomainWeight : 1;
  }
  return Wanted * ProbesPerSecond;
}

target_ref target_set::chooseProbed(const placement_query &Query, boot_time Now,
                                    absl::BitGenRef Random) const {
  if (!Query.MayProbe || Query.ProbingRate <= 0)
    return nullptr;
  const due_targets Due = dueForProbe(Query, Now);
  const double EarlyRate =
      std::min(wantedProbeRate(Due.Early), Query.EarlyProbeRate);
  const double WantedRate = EarlyRate + wantedProbeRate(Due.Regular);
  // The instances do not coordinate their probes; each probes at random with a
  // probability that gives nearly every due target a probe within a second.
  const double Drawn = absl::Uniform(Random, 0.0, Query.ProbingRate);
  if (Drawn >= std::min(MaxProbeFraction * Query.ProbingRate, WantedRate))
    return nullptr;
  const std::vector<target_ref> &Among =
      Drawn < EarlyRate ? Due.Early : Due.Regular;
  // Of two random targets, probe the one that has been without a request for
  // longer: it is the next one that would stay unused for too long.
  const target_ref &One = Among[absl::Uniform<size_t>(Random, 0, Among.size())];
  const target_ref &Other =
      Among[absl::Uniform<size_t>(Random, 0, Among.size())];
  const target_ref &Chosen = One->LastUsed < Other->LastUsed ? One : Other;
  // Until a probe of a hanging target shows what it is, other instances would
  // send theirs too.
  const bool Slow = targetsHang() &&
                    Query.FailedFraction < Settings.UrgentProbeFailedFraction &&
                    Chosen->Fleet.probabilityAt(Now) >= RiskyProbeProbability;
  if (Slow && absl::Uniform(Random, 0.0, 1.0) > SlowProbeFraction)
    return nullptr;
  return Chosen;
}

target_ref target_set::chooseWatched(const placement_query &Query,
                                     boot_time Now) const {
  if (Query.Watched == nullptr || !Query.WatchInterval)
    return nullptr;
  target_ref Longest;
  for (const target_ref &Target : targetsOf(Query.Service)) {
    if (Now - Target->LastUsed <= *Query.WatchInterval ||
        (Longest && Target->LastUsed >= Longest->LastUsed))
      continue;
    // A path that is lost shows nothing of the target.
    if (isUsable(*Target, Query, Now) &&
        Now - Target->LastUnreachable >= LostPathPause &&
        Query.Watched->owns(Target->Key, Target->Entry.FailureDomain))
      Longest = Target;
  }
  return Longest;
}

target_ref target_set::choose(const placement_query &Query, boot_time Now,
                              absl::BitGenRef Random) const {
  if (target_ref Watched = chooseWatched(Query, Now))
    return Watched;
  if (target_ref Probed = chooseProbed(Query, Now, Random))
    return Probed;
  if (isDivided(Query.Service))
    return chooseDivided(Query, Now, Random);
  std::vector<candidate> Candidates;
  for (const target_ref &Target : targetsOf(Query.Service))
    if (isUsable(*Target, Query, Now))
      Candidates.push_back({&Target, costOf(*Target, Query, Now)});
  if (Candidates.empty())
    return nullptr;
  return draw(std::move(Candidates), Random);
}

const target_ref &target_set::draw(std::vector<candidate> Among,
                                   absl::BitGenRef Random) const {
  double LowestCost = std::numeric_limits<double>::max();
  for (const candidate &Candidate : Among)
    LowestCost = std::min(LowestCost, Candidate.Cost);
  // Replaces each cost by its softmax weight.
  double Total = 0;
  for (candidate &Candidate : Among) {
    Candidate.Cost =
        std::exp((LowestCost - Candidate.Cost) / Settings.CostTemperature);
    Total += Candidate.Cost;
  }
  double Drawn = absl::Uniform(Random, 0.0, Total);
  for (const candidate &Candidate : Among) {
    Drawn -= Candidate.Cost;
    if (Drawn <= 0)
      return *Candidate.Target;
  }
  return *Among.back().Target;
}

void target_set::pause(target &Target, duration Pause, boot_time Now) {
  Target.PausedUntil = std::max(Target.PausedUntil, Now + Pause);
}

std::optional<boot_time>
target_set::pausedUntil(std::string_view Service, boot_time Now,
                        const domain_filter &Domains) const {
  std::optional<boot_time> First;
  for (const target_ref &Target : targetsOf(Service)) {
    if (!Target->isAvailable() || !Domains.allows(Target->Entry.FailureDomain))
      continue;
    if (Target->PausedUntil <= Now)
      return std::nullopt;
    First = std::min(First.value_or(Target->PausedUntil), Target->PausedUntil);
  }
  return First;
}

void target_set::observe(target &Target, evidence Evidence, boot_time SentAt,
                         boot_time Now) {
  if (Evidence == evidence::Draining) {
    Target.SaidDraining = true;
    return;
  }
  if (Evidence == evidence::Succeeded || Evidence == evidence::SucceededLate)
    ServiceTimes[Target.Entry.Service].observe(Now - SentAt);
  if (Evidence == evidence::Refused)
    Target.Load.refuse(Now + serviceTimeOf(Target.Entry.Service));
  // A failed connection or a missing response may be caused by the network path
  // alone.
  if (Evidence != evidence::Unreachable)
    Target.Fleet.observe(Evidence, SentAt, Now);
  else
    Target.LastUnreachable = Now;
  if (Evidence == evidence::Unreachable || Evidence == evidence::Stalled ||
      Evidence == evidence::Succeeded || Evidence == evidence::SucceededLate)
    Target.Path.observe(Evidence, SentAt, Now);
}

void target_set::observePath(target &Target, evidence Evidence,
                             boot_time SentAt, boot_time Now) {
  Target.Path.observe(Evidence, SentAt, Now);
}

void target_set::observePeer(target_key Key, evidence Evidence,
                             boot_time SentAt, boot_time Now) {
  const auto Found = ByKey.find(Key);
  if (Found == ByKey.end() || Evidence == evidence::Unreachable)
    return;
  target &Target = *Found->second;
  if (Evidence == evidence::Draining) {
    Target.SaidDraining = true;
    return;
  }
  Target.LastUsed = std::max(Target.LastUsed, SentAt);
  Target.Fleet.observe(Evidence, SentAt, Now);
}

void target_set::setPeerInFlight(uint64_t Peer,
                                 absl::Span<const in_flight> Counts,
                                 boot_time Now) {
  std::vector<target_ref> &Used = UsedByPeer[Peer];
  for (const target_ref &Target : Used)
    Target->Peers.erase(Peer);
  Used.clear();
  for (const in_flight &Count : Counts) {
    const auto Found = ByKey.find(Count.Key);
    if (Found == ByKey.end())
      continue;
    Found->second->Peers[Peer] = {Count.Count, Now};
    Used.push_back(Found->second);
  }
  if (Used.empty())
    UsedByPeer.erase(Peer);
}

std::vector<target_set::in_flight> target_set::ownInFlight() const {
  std::vector<in_flight> Counts;
  for (const auto &[Key, Target] : ByKey)
    if (Target->OwnInFlight > 0)
      Counts.push_back({Key, Target->OwnInFlight});
  return Counts;
}

} // namespace magnolia::placement
