#pragma once

#include <string>
#include <string_view>
#include <vector>

#include <absl/types/span.h>

#include "Instance/Membership.h"

namespace magnolia::instance {

/// What the directory tells a caller.
struct directory_entry {
  std::string Address;
  std::string FailureDomain;

  friend bool operator==(const directory_entry &,
                         const directory_entry &) = default;
};

/// The instances that a caller should use, in this order.
struct directory_response {
  std::vector<directory_entry> Instances;
  /// How long the caller may keep the answer.
  duration KeepFor{0};
};

/// How the directory answers.
struct directory_settings {
  /// Instances that one answer names at most.
  size_t MaxInstances = 6;
  duration KeepFor = std::chrono::seconds(10);
  /// For an answer that had to name suspect or leaving instances.
  duration KeepIsolatedFor = std::chrono::seconds(2);
};

/// Who asks.
struct directory_query {
  /// Instances that hold the workspace's shares, by name, in order.
  absl::Span<const std::string> Owners;
  /// Empty where unknown.
  std::string_view FailureDomain;
  /// Differs between callers, so that they do not all begin with the same
  /// instance.
  uint64_t CallerSeed = 0;
};

/// Answers from what one instance knows of the others: homes first, both they
/// and the rest spread over failure domains, each caller with an order of its
/// own. Leaving and suspect instances are left out while more than half of the
/// others live; else suspect ones follow at the end. Empty only if \p Members
/// is.
directory_response queryDirectory(absl::Span<const member> Members,
                                  const directory_query &Query,
                                  const directory_settings &Settings);

} // namespace magnolia::instance
