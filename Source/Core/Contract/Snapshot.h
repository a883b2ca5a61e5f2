#pragma once

#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include <absl/container/flat_hash_map.h>

#include "Contract/Manifest.h"

namespace magnolia::contract {

/// An immutable configuration with the indices that requests are looked up
/// with. Shared by all threads without a lock.
class snapshot {
public:
  explicit snapshot(configuration Configuration);

  const configuration &content() const { return Content; }
  uint64_t version() const { return Content.Version; }

  /// The route with the longest prefix of \p Path that ends at a path segment,
  /// or null. A query is ignored. Null also for paths that a target could
  /// resolve to another prefix: dot segments, empty segments, encoded slashes.
  const route *findRoute(std::string_view Path) const;

  /// The service, or null.
  const service *findService(std::string_view Name) const;

  /// The workspace, or null.
  const workspace *findWorkspace(std::string_view Name) const;

  /// The key with this digest unless it is unknown or revoked, else null.
  const key *findKey(std::string_view Digest) const;

private:
  configuration Content;
  absl::flat_hash_map<std::string, size_t> RoutesByPrefix;
  absl::flat_hash_map<std::string, size_t> ServicesByName;
  absl::flat_hash_map<std::string, size_t> WorkspacesByName;
  absl::flat_hash_map<std::string, size_t> KeysByDigest;
};

using snapshot_ptr = std::shared_ptr<const snapshot>;

} // namespace magnolia::contract
