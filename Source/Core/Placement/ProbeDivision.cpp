#include "Placement/ProbeDivision.h"

#include <algorithm>

#include "Common/Digest.h"

namespace magnolia::placement {
namespace {

/// The rank of an instance for a target: that of the owner is the highest.
uint64_t rankOf(uint64_t NameHash, target_key Target) {
  const std::string_view Bytes(reinterpret_cast<const char *>(&Target),
                               sizeof(Target));
  return common::stableHash(Bytes, NameHash);
}

} // namespace

probe_division::probe_division(std::string_view OwnName,
                               const std::vector<probing_instance> &Instances)
    : OwnHash(common::stableHash(OwnName)) {
  Members.reserve(Instances.size());
  for (const probing_instance &Instance : Instances)
    Members.push_back(
        {common::stableHash(Instance.Name), Instance.FailureDomain});
}

bool probe_division::owns(target_key Target,
                          std::string_view FailureDomain) const {
  const bool DomainHasMembers =
      std::any_of(Members.begin(), Members.end(), [&](const member &Member) {
        return Member.FailureDomain == FailureDomain;
      });
  const member *Owner = nullptr;
  for (const member &Member : Members) {
    if (DomainHasMembers && Member.FailureDomain != FailureDomain)
      continue;
    if (Owner == nullptr ||
        rankOf(Member.NameHash, Target) > rankOf(Owner->NameHash, Target))
      Owner = &Member;
  }
  return Owner != nullptr && Owner->NameHash == OwnHash;
}

} // namespace magnolia::placement
