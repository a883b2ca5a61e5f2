#include "Target/EjectionPlanner.h"

#include <algorithm>
#include <cmath>

#include "Common/StringView.h"

namespace magnolia::target {
namespace {

/// Prevents a product such as 0.3 * 10 from being rounded up past a whole
/// number.
constexpr double RoundingSlack = 1e-9;

uint32_t liveSlots(absl::Span<const ejection_candidate> Targets) {
  uint32_t Slots = 0;
  for (const ejection_candidate &Target : Targets)
    Slots += Target.Live ? Target.Slots : 0;
  return Slots;
}

} // namespace

uint32_t ejectableSlots(uint32_t LiveSlots, double Floor) {
  const double Kept = std::ceil(Floor * LiveSlots - RoundingSlack);
  return LiveSlots - std::min(LiveSlots, static_cast<uint32_t>(Kept));
}

void ejection_planner::dropExpired(boot_time Now) {
  absl::erase_if(Entries, [&](const auto &Item) {
    const entry &Entry = Item.second;
    return Entry.InForceUntil <= Now &&
           Entry.EjectedUntil + Settings.BackOffReset <= Now;
  });
}

bool ejection_planner::shouldEject(const ejection_candidate &Target,
                                   boot_time Now) {
  if (!Target.Live)
    return false;
  const auto Found = Entries.find(common::toAbsl(Target.Name));
  const bool InBackOff =
      Found != Entries.end() && Found->second.EjectedUntil > Now;
  return Target.Bad || InBackOff;
}

std::vector<std::string>
ejection_planner::publish(absl::Span<const ejection_candidate> Targets,
                          double Floor, duration Term, boot_time Now) {
  dropExpired(Now);
  // Each ejection that may be in force counts, published or not, including that
  // of a draining target, which may return.
  std::vector<const ejection_candidate *> InForce;
  std::vector<const ejection_candidate *> Added;
  uint32_t Used = 0;
  for (const ejection_candidate &Target : Targets) {
    const auto Found = Entries.find(common::toAbsl(Target.Name));
    const bool Counted =
        Found != Entries.end() && Found->second.InForceUntil > Now;
    if (Counted)
      Used += Target.Slots;
    if (shouldEject(Target, Now))
      (Counted ? InForce : Added).push_back(&Target);
  }
  const auto Worse = [](const ejection_candidate *A,
                        const ejection_candidate *B) {
    return A->Score > B->Score;
  };
  std::stable_sort(InForce.begin(), InForce.end(), Worse);
  std::stable_sort(Added.begin(), Added.end(), Worse);

  const uint32_t Allowed = ejectableSlots(liveSlots(Targets), Floor);
  std::vector<std::string> List;
  uint32_t Published = 0;
  const auto Publish = [&](const ejection_candidate &Target) {
    entry &Entry = Entries[common::toAbsl(Target.Name)];
    if (Entry.EjectedUntil <= Now) {
      Entry.BackOff = Entry.BackOff == duration::zero()
                          ? Settings.BackOff
                          : std::min(Entry.BackOff * 2, Settings.MaxBackOff);
      Entry.EjectedUntil = Now + Entry.BackOff;
    }
    Entry.InForceUntil = std::max(Entry.InForceUntil, Now + Term);
    Published += Target.Slots;
    List.emplace_back(Target.Name);
  };
  for (const ejection_candidate *Target : InForce)
    if (Published + Target->Slots <= Allowed)
      Publish(*Target);
  for (const ejection_candidate *Target : Added) {
    if (Used + Target->Slots > Allowed)
      continue;
    Used += Target->Slots;
    Publish(*Target);
  }
  return List;
}

} // namespace magnolia::target
