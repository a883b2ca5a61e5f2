#include <algorithm>
#include <array>
#include <limits>

#include <absl/random/distributions.h>

#include "Common/StringView.h"
#include "Placement/TargetSet.h"

// The choice among targets whose slots are few for the number of instances.

namespace magnolia::placement {

using common::toAbsl;

std::vector<target_set::division>
target_set::setMembers(fleet_members Changed) {
  Members = std::move(Changed);
  std::vector<division> Divisions;
  for (const auto &[Service, Targets] : ByService) {
    size_t Slots = 0;
    std::vector<target_key> InDomain;
    for (const target_ref &Target : Targets) {
      Slots += Target->Entry.Capacity;
      if (Target->Entry.FailureDomain == FailureDomain && !Target->isDraining())
        InDomain.push_back(Target->Key);
    }
    const auto MeanSlots =
        static_cast<uint32_t>(Slots / std::max<size_t>(Targets.size(), 1));
    if (!isOwnCountMeaningless(MeanSlots, Members.Total,
                               Settings.MaxInstancesPerSlot)) {
      Preferred.erase(Service);
      continue;
    }
    preferred_targets &Own = Preferred[Service];
    const size_t Count = InDomain.size();
    if (Own.update(Members, std::move(InDomain)))
      Divisions.push_back({Service, Count, Own.size()});
  }
  return Divisions;
}

bool target_set::isDivided(std::string_view Service) const {
  if (!Preferred.contains(toAbsl(Service)))
    return false;
  const std::vector<target_ref> &Targets = targetsOf(Service);
  return std::any_of(
      Targets.begin(), Targets.end(),
      [](const target_ref &Target) { return Target->Load.isTold(); });
}

std::optional<size_t> target_set::choiceOf(const target &Target) const {
  const auto Own = Preferred.find(toAbsl(Target.Entry.Service));
  return Own == Preferred.end() ? std::nullopt
                                : Own->second.choiceOf(Target.Key);
}

void target_set::tellLoad(target &Target, const std::optional<told_load> &Load,
                          boot_time Now) {
  Target.Load.tell(Load, Target.OwnInFlight, Now);
}

duration target_set::serviceTimeOf(std::string_view Service) const {
  const auto Found = ServiceTimes.find(toAbsl(Service));
  return Found == ServiceTimes.end() ? service_time().mean()
                                     : Found->second.mean();
}

double target_set::knownRequestsAt(const target &Target, boot_time Now) const {
  return Target.OwnInFlight +
         Target.Load.othersAt(Now, reportedAt(Target, Now),
                              serviceTimeOf(Target.Entry.Service));
}

double target_set::requestsAt(const target &Target, boot_time Now) const {
  return isOwnCountMeaningless(Target.Entry.Capacity, Members.Total,
                               Settings.MaxInstancesPerSlot)
             ? knownRequestsAt(Target, Now)
             : inFlightAt(Target, Now);
}

bool target_set::hasFreeSlot(const target &Target, boot_time Now) const {
  // The peers' reports are left out: the few requests that they send here have
  // mostly ended since.
  constexpr uint32_t NoReports = 0;
  const double Requests =
      Target.OwnInFlight +
      Target.Load.othersAt(Now, NoReports, serviceTimeOf(Target.Entry.Service));
  return !Target.Load.isFull(Now) && Requests + 1 <= Target.Entry.Capacity;
}

std::vector<target_set::candidate>
target_set::dividedCandidates(const placement_query &Query,
                              boot_time Now) const {
  std::vector<candidate> Candidates;
  std::vector<candidate> Refusing;
  for (const target_ref &Target : targetsOf(Query.Service)) {
    if (!isUsable(*Target, Query, Now))
      continue;
    const double Cost = healthCostOf(*Target, Query, Now);
    (Target->Load.isFull(Now) ? Refusing : Candidates)
        .push_back({&Target, Cost});
  }
  if (Candidates.empty())
    Candidates = std::move(Refusing);
  double LowestCost = std::numeric_limits<double>::max();
  for (const candidate &Candidate : Candidates)
    LowestCost = std::min(LowestCost, Candidate.Cost);
  for (candidate &Candidate : Candidates)
    Candidate.Cost =
        std::max(Candidate.Cost, LowestCost + Settings.HealthMargin);
  return Candidates;
}

target_ref target_set::chooseDivided(const placement_query &Query,
                                     boot_time Now,
                                     absl::BitGenRef Random) const {
  std::vector<candidate> Candidates = dividedCandidates(Query, Now);
  if (Candidates.empty())
    return nullptr;
  if (target_ref Own = choosePreferred(Candidates, Query, Now, Random))
    return Own;
  const auto Better = [&](const target_ref &One, const target_ref &Other) {
    return costOf(*One, Query, Now) <= costOf(*Other, Query, Now) ? One : Other;
  };
  const target_ref Near =
      Better(draw(Candidates, Random), draw(Candidates, Random));
  // A failure domain may be busier than the others as a whole.
  std::erase_if(Candidates, [&](const candidate &Candidate) {
    return (*Candidate.Target)->Entry.FailureDomain == FailureDomain;
  });
  return Candidates.empty() ? Near : Better(Near, draw(Candidates, Random));
}

target_ref target_set::choosePreferred(absl::Span<const candidate> Candidates,
                                       const placement_query &Query,
                                       boot_time Now,
                                       absl::BitGenRef Random) const {
  double LowestCost = std::numeric_limits<double>::max();
  for (const candidate &Candidate : Candidates)
    LowestCost = std::min(LowestCost, Candidate.Cost);
  std::array<std::vector<candidate>, ChoiceCount> Free;
  for (const candidate &Candidate : Candidates) {
    const target &Target = **Candidate.Target;
    const auto Choice = choiceOf(Target);
    if (Choice && Candidate.Cost <= LowestCost && hasFreeSlot(Target, Now))
      Free.at(*Choice).push_back(
          {Candidate.Target, costOf(Target, Query, Now)});
  }
  for (const std::vector<candidate> &Each : Free)
    if (!Each.empty())
      return draw(Each, Random);
  return nullptr;
}

} // namespace magnolia::placement
