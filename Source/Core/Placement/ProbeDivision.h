#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "Placement/TargetEntry.h"

namespace magnolia::placement {

/// An instance that probes targets.
struct probing_instance {
  std::string Name;
  std::string FailureDomain;
};

/// Divides the probes of targets among the instances: each target has one
/// owner, in its own failure domain if an instance is there. No agreement is
/// needed: where the views of two instances differ, a target is probed by both
/// or, until the views agree again, by none. Load pattern: dozens of instances
/// whose reports are half a second old probe the same targets; drawn at random,
/// some targets get three probes in one report interval and others none for
/// seconds. Not thread-safe.
class probe_division {
public:
  /// A division in which this instance owns nothing.
  probe_division() = default;

  /// \p OwnName: the name of this instance, which is one of \p Instances.
  probe_division(std::string_view OwnName,
                 const std::vector<probing_instance> &Instances);

  /// Whether this instance is the owner of a target of \p FailureDomain.
  bool owns(target_key Target, std::string_view FailureDomain) const;

private:
  struct member {
    uint64_t NameHash = 0;
    std::string FailureDomain;
  };

  uint64_t OwnHash = 0;
  std::vector<member> Members;
};

} // namespace magnolia::placement
