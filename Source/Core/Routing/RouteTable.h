#pragma once

#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>

#include "Routing/Configuration.h"
#include "Routing/RankTable.h"

namespace magnolia::routing {

/// \p Host without its port and in lower case, as routes are looked up.
std::string normalizedHost(std::string_view Host);

/// A configuration with indices for the lookup of routes and workspaces.
/// Immutable.
class route_table {
public:
  /// \p Before: the table that was in force until now, if any.
  static std::shared_ptr<const route_table>
  build(configuration Configuration,
        const std::shared_ptr<const route_table> &Before = nullptr);

  /// The route of \p Host (the port and the case of letters are ignored) with
  /// the longest prefix of \p Path; null if there is none. A closed one if the
  /// request may be meant for a route that cannot be read, unless the last
  /// table without such routes allowed it as much as this one does.
  const route *find(std::string_view Host, std::string_view Path) const;

  /// The home regions of the routes of \p Host that have any.
  std::vector<std::vector<std::string>> homesOf(std::string_view Host) const;

  /// The workspace that holds \p Key; null if none does.
  const workspace *workspaceOf(std::string_view Key) const;

  /// Whether a key that nobody holds may be one that could not be read.
  bool mayMissKeys() const { return MayMissKeys; }

  /// The service \p Name; null if the configuration has none.
  const service *serviceOf(std::string_view Name) const;

  const configuration &configurationInForce() const { return Configuration; }
  const rank_table &ranks() const { return Ranks; }
  uint64_t version() const { return Configuration.Version; }

private:
  using prefix_map = absl::flat_hash_map<std::string, const route *>;

  route_table(configuration Configuration,
              const std::shared_ptr<const route_table> &Given);
  void add(const route &Route);
  void add(const workspace &Workspace);

  bool closesHosts() const {
    return ClosesAllHosts != nullptr || !ClosedHosts.empty();
  }
  /// The closed route that closes the normalized \p Host; null if none does.
  const route *closureOf(const std::string &Host) const;
  /// The route with the longest prefix of \p Path, whatever closes the host.
  const route *findListed(const std::string &Host, std::string_view Path) const;
  bool needsKey(const route &Route) const {
    return !Route.Public && Configuration.RequiresKeys;
  }
  /// Whether \p Route, of this table, allows a request nothing that the table
  /// before did not allow it.
  bool wasAllowed(const route &Route, std::string_view Host,
                  std::string_view Path) const;

  const configuration Configuration;
  const rank_table Ranks;
  absl::flat_hash_map<std::string, prefix_map> ByHost;
  /// Closed routes without a prefix.
  absl::flat_hash_map<std::string, const route *> ClosedHosts;
  /// A closed route without a host.
  const route *ClosesAllHosts = nullptr;
  absl::flat_hash_map<std::string, const workspace *> ByKey;
  absl::flat_hash_map<std::string, const service *> ByService;
  bool MayMissKeys = false;
  /// The last table that closes no host; null unless this one closes some.
  std::shared_ptr<const route_table> Before;
};

} // namespace magnolia::routing
