#pragma once

#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include <absl/container/flat_hash_map.h>

#include "Contract/Manifest.h"

namespace magnolia::contract {

/// An immutable configuration with the indices for looking up requests. Shared
/// by all threads without a lock.
class snapshot {
public:
  explicit snapshot(configuration Configuration);

  const configuration &content() const { return Content; }
  uint64_t version() const { return Content.Version; }

  /// The route with the longest prefix of \p Path that ends at a segment
  /// boundary, or null. The query string is ignored. Also null for paths that a
  /// target could resolve to another prefix: those with dot segments, empty
  /// segments, backslashes, encoded slashes or encoded null bytes.
  const route *findRoute(std::string_view Path) const;

  /// The service, or null.
  const service *findService(std::string_view Name) const;

  /// The workspace, or null.
  const workspace *findWorkspace(std::string_view Name) const;

  /// The key with this digest; null if it is unknown or revoked.
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
