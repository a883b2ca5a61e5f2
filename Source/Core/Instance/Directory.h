#pragma once

#include <string>
#include <string_view>
#include <vector>

#include <absl/types/span.h>

#include "Instance/Membership.h"

namespace magnolia::instance {

/// One instance in a directory response.
struct directory_entry {
  std::string Address;
  std::string FailureDomain;

  friend bool operator==(const directory_entry &,
                         const directory_entry &) = default;
};

/// The instances that a caller should use, in order of preference.
struct directory_response {
  std::vector<directory_entry> Instances;
  /// How long the caller may cache the response.
  duration Ttl{0};
};

/// Settings of the directory.
struct directory_settings {
  /// Maximum number of instances in one response.
  size_t MaxInstances = 6;
  duration Ttl = std::chrono::seconds(10);
  /// For a response of an instance that may itself be cut off, which can
  /// contain suspect or draining instances.
  duration IsolatedTtl = std::chrono::seconds(2);
};

/// A directory request.
struct directory_query {
  /// Names of the instances that own the workspace's shares, in order.
  absl::Span<const std::string> Owners;
  /// Empty where unknown.
  std::string_view FailureDomain;
  /// Differs between callers, so that they do not all start with the same
  /// instance.
  uint64_t CallerSeed = 0;
};

/// Selects instances from one instance's view of the fleet: owners first, then
/// others, each group interleaved over failure domains and in an order that
/// depends on the caller. Draining and suspect instances are omitted while more
/// instances are alive than suspect; otherwise suspect ones follow at the end.
/// If none is alive, draining, suspect or gone instances are used, in this
/// order. Empty only if \p Members is.
directory_response queryDirectory(absl::Span<const member> Members,
                                  const directory_query &Query,
                                  const directory_settings &Settings);

} // namespace magnolia::instance
