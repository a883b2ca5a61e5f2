#include "Placement/PreferredTargets.h"

#include <algorithm>
#include <numeric>
#include <utility>

#include "Common/Digest.h"

namespace magnolia::placement {
namespace {

/// Mixes two hashes so that each pair has its own weight.
uint64_t weightOf(uint64_t First, uint64_t Second) {
  // The finalizer of MurmurHash3.
  uint64_t Mixed = First ^ (Second * 0x9E3779B97F4A7C15U);
  Mixed = (Mixed ^ (Mixed >> 33U)) * 0xFF51AFD7ED558CCDU;
  Mixed = (Mixed ^ (Mixed >> 33U)) * 0xC4CEB9FE1A85EC53U;
  return Mixed ^ (Mixed >> 33U);
}

/// Deals items out to bins: each bin gets as many as any other, or one more.
/// Returns the bin of each item.
std::vector<size_t> deal(absl::Span<const uint64_t> Items,
                         absl::Span<const uint64_t> Bins) {
  std::vector<size_t> BinOf(Items.size());
  std::vector<size_t> Counts(Bins.size());
  std::vector<size_t> Order(Items.size());
  std::iota(Order.begin(), Order.end(), size_t{0});
  std::sort(Order.begin(), Order.end(), [&](size_t One, size_t Other) {
    return Items[One] < Items[Other];
  });
  const size_t Even = Items.size() / Bins.size();
  size_t Dealt = 0;
  for (const size_t Item : Order) {
    const size_t Most = Dealt++ < Even * Bins.size() ? Even : Even + 1;
    size_t Best = Bins.size();
    uint64_t BestWeight = 0;
    for (size_t Bin = 0; Bin < Bins.size(); ++Bin) {
      const uint64_t Weight = weightOf(Items[Item], Bins[Bin]);
      if (Counts[Bin] < Most && (Best == Bins.size() || Weight > BestWeight)) {
        Best = Bin;
        BestWeight = Weight;
      }
    }
    ++Counts[Best];
    BinOf[Item] = Best;
  }
  return BinOf;
}

} // namespace

bool isOwnCountMeaningless(uint32_t Slots, size_t Instances,
                           size_t MaxInstancesPerSlot) {
  return Slots > 0 && Instances > MaxInstancesPerSlot * Slots;
}

std::vector<target_key> preferredPart(const std::string &OwnName,
                                      absl::Span<const std::string> Instances,
                                      absl::Span<const target_key> Targets,
                                      size_t Choice) {
  const auto Own = std::find(Instances.begin(), Instances.end(), OwnName);
  if (Own == Instances.end() || Targets.empty())
    return {};
  const auto OwnIndex = static_cast<size_t>(Own - Instances.begin());
  std::vector<uint64_t> Names;
  for (const std::string &Name : Instances)
    Names.push_back(common::stableHash(Name, Choice));
  std::vector<uint64_t> Keys;
  for (const target_key Key : Targets)
    Keys.push_back(weightOf(Key, Choice));
  std::vector<target_key> Part;
  if (Targets.size() < Instances.size()) {
    Part.push_back(Targets[deal(Names, Keys)[OwnIndex]]);
    return Part;
  }
  const std::vector<size_t> Owners = deal(Keys, Names);
  for (size_t Index = 0; Index < Targets.size(); ++Index)
    if (Owners[Index] == OwnIndex)
      Part.push_back(Targets[Index]);
  return Part;
}

bool preferred_targets::update(const fleet_members &Members,
                               std::vector<target_key> Targets) {
  // The order in which an instance learned of the targets is its own.
  std::sort(Targets.begin(), Targets.end());
  if (Targets == Divided && Members.InDomain == Instances)
    return false;
  Divided = std::move(Targets);
  Instances = Members.InDomain;
  const auto Before = std::exchange(Choices, {});
  for (size_t Choice = 0; Choice < ChoiceCount; ++Choice)
    for (const target_key Key :
         preferredPart(Members.OwnName, Instances, Divided, Choice))
      Choices.try_emplace(Key, Choice);
  return Choices != Before;
}

std::optional<size_t> preferred_targets::choiceOf(target_key Target) const {
  const auto Found = Choices.find(Target);
  return Found == Choices.end() ? std::nullopt
                                : std::optional<size_t>(Found->second);
}

} // namespace magnolia::placement
