#include "Placement/Evacuations.h"

#include <algorithm>
#include <utility>

namespace magnolia::placement {

std::vector<evacuation_change>
evacuations::replace(absl::Span<const std::string> Domains, boot_time Now) {
  std::vector<evacuation_change> Changes;
  for (const std::string &Domain : Domains)
    if (const auto Change = set(Domain, true))
      Changes.push_back(*Change);
  const bool MayBeLost = std::exchange(IsRestored, false);
  std::vector<std::string> Ended;
  for (auto &[Domain, EndsAt] : Evacuated) {
    if (std::find(Domains.begin(), Domains.end(), Domain) != Domains.end())
      continue;
    if (MayBeLost)
      EndsAt = Now + Settings.RestoredGrace;
    else if (!EndsAt)
      Ended.push_back(Domain);
  }
  for (const std::string &Domain : Ended)
    Changes.push_back(*set(Domain, false));
  return Changes;
}

std::optional<evacuation_change> evacuations::set(const std::string &Domain,
                                                  bool HasRow) {
  if (!HasRow)
    return Evacuated.erase(Domain) > 0
               ? std::optional(evacuation_change{Domain, false})
               : std::nullopt;
  const auto [Known, IsNew] = Evacuated.try_emplace(Domain);
  Known->second.reset();
  return IsNew ? std::optional(evacuation_change{Domain, true}) : std::nullopt;
}

std::vector<evacuation_change> evacuations::advance(boot_time Now) {
  std::vector<std::string> Ended;
  for (const auto &[Domain, EndsAt] : Evacuated)
    if (EndsAt && Now >= *EndsAt)
      Ended.push_back(Domain);
  std::vector<evacuation_change> Changes;
  Changes.reserve(Ended.size());
  for (const std::string &Domain : Ended)
    Changes.push_back(*set(Domain, false));
  return Changes;
}

std::vector<std::string> evacuations::domains() const {
  std::vector<std::string> Domains;
  for (const auto &[Domain, EndsAt] : Evacuated)
    Domains.push_back(Domain);
  return Domains;
}

} // namespace magnolia::placement
