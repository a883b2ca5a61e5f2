#pragma once

#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <absl/types/span.h>

namespace magnolia::placement {

/// The failure domains whose targets a request may reach: all, or those of a
/// list.
class domain_filter {
public:
  domain_filter() = default;
  explicit domain_filter(std::vector<std::string> Allowed)
      : Allowed(std::move(Allowed)) {}

  bool allows(const std::string &FailureDomain) const;

  /// Whether it allows only those of a list.
  bool isLimited() const { return Allowed.has_value(); }

private:
  std::optional<std::vector<std::string>> Allowed;
};

/// The region of each failure domain. Decides where requests with home regions
/// may run. Load pattern: a fleet over several regions, in which some routes
/// and workspaces may not leave theirs, while targets of a near region fail and
/// all others have room. A failure domain whose region is not known is in no
/// home region. Immutable.
class region_map {
public:
  /// \p RegionOf: the region of each failure domain.
  explicit region_map(std::map<std::string, std::string> RegionOf)
      : RegionOf(std::move(RegionOf)) {}

  /// Whether \p FailureDomain is in one of \p Regions; true without any, since
  /// there is no restriction then.
  bool isIn(const std::string &FailureDomain,
            absl::Span<const std::string> Regions) const;

  /// The failure domains that both lists of home regions allow. An empty list
  /// is no restriction.
  domain_filter domainsIn(absl::Span<const std::string> RouteHomes,
                          absl::Span<const std::string> WorkspaceHomes) const;

  /// The failure domains to whose instances a caller is sent: those in its own
  /// region, and those that all of \p Homes allow, the home regions of the
  /// routes that it may use. Without any there is no restriction. \p Region may
  /// be empty: that of \p FailureDomain then.
  domain_filter
  domainsForCaller(absl::Span<const std::vector<std::string>> Homes,
                   std::string Region, const std::string &FailureDomain) const;

  bool contains(const std::string &FailureDomain) const {
    return RegionOf.contains(FailureDomain);
  }

private:
  const std::map<std::string, std::string> RegionOf;
};

} // namespace magnolia::placement
