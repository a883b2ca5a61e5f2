#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include <absl/container/flat_hash_map.h>
#include <absl/types/span.h>

#include "Placement/TargetEntry.h"

namespace magnolia::placement {

/// The instances of the fleet, as one of them knows it.
struct fleet_members {
  std::string OwnName;
  /// Names of the reachable instances of the own failure domain that serve
  /// callers, this one included; sorted.
  std::vector<std::string> InDomain;
  /// Reachable instances of all failure domains, this one included.
  size_t Total = 1;

  friend bool operator==(const fleet_members &,
                         const fleet_members &) = default;
};

/// Whether the instances are so many for the slots of a target that the
/// requests that one of them has in flight there say next to nothing about how
/// busy it is: with all slots in use, an instance has on average less than one
/// request in \p MaxInstancesPerSlot times there.
bool isOwnCountMeaningless(uint32_t Slots, size_t Instances,
                           size_t MaxInstancesPerSlot);

/// Divides the targets of a service in one failure domain among its instances,
/// and returns the part of one. Load pattern: many instances with a few
/// requests a second each share targets of few slots, and requests take less
/// time than reports between instances, so that a request that goes to any of
/// the targets meets others that no instance knew of. With a target mostly used
/// by one instance, the requests of that one are nearly all there are.
///
/// Each instance gets as many targets as any other, or one more; with fewer
/// targets than instances, each target gets as many instances as any other, or
/// one more. All instances that know the same names compute the same division.
/// Within these bounds an instance gets the targets for which its rendezvous
/// weight is the highest, so that most keep theirs when an instance or a target
/// joins or leaves. \p Choice: the first, or another division for requests that
/// the targets of those before it can't take, which are divided among their
/// instances anew.
std::vector<target_key> preferredPart(const std::string &OwnName,
                                      absl::Span<const std::string> Instances,
                                      absl::Span<const target_key> Targets,
                                      size_t Choice = 0);

/// Number of divisions of the targets of a service. While a third of the
/// targets is unusable, one in forty instances finds no usable target in three.
inline constexpr size_t ChoiceCount = 3;

/// The own part of the targets of one service. Not thread-safe.
class preferred_targets {
public:
  /// Divides \p Targets, in any order, among the instances of the own failure
  /// domain, unless both are the same as the last time. Returns whether the own
  /// part changed.
  bool update(const fleet_members &Members, std::vector<target_key> Targets);

  /// The first choice that contains \p Target; none if it is not preferred.
  std::optional<size_t> choiceOf(target_key Target) const;
  /// Number of targets of all choices.
  size_t size() const { return Choices.size(); }

private:
  std::vector<std::string> Instances;
  std::vector<target_key> Divided;
  absl::flat_hash_map<target_key, size_t> Choices;
};

} // namespace magnolia::placement
