#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <absl/container/flat_hash_map.h>

#include "Routing/Configuration.h"

namespace magnolia::routing {

/// How urgent the requests of a service are relative to each other. The
/// priority of the workspace decides, or the route's if the workspace has none;
/// the route's decides between equal ones. Immutable.
class rank_table {
public:
  rank_table() = default;
  explicit rank_table(const configuration &Configuration);

  /// Number of ranks that the requests of \p Service may have, at least one.
  size_t countOf(std::string_view Service) const;

  /// The rank of a request for \p Service, zero being the most urgent. Without
  /// \p Workspace: the route is public.
  size_t rankOf(std::string_view Service, const route &Route,
                const workspace *Workspace) const;

private:
  /// The priority of the workspace or else the route's, and the route's.
  using urgency = std::pair<double, double>;

  static urgency urgencyOf(const route &Route, const workspace *Workspace);
  void add(const route &Route, const workspace *Workspace);

  /// In ascending order, without duplicates.
  absl::flat_hash_map<std::string, std::vector<urgency>> ByService;
};

} // namespace magnolia::routing
