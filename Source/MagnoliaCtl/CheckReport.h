#pragma once

#include <iosfwd>
#include <optional>
#include <string>
#include <vector>

#include <absl/status/status.h>

#include "Common/EntryDiff.h"
#include "Routing/ConfigurationCheck.h"

namespace magnolia::ctl {

/// Differences from another version.
struct comparison {
  /// What was compared with: a file, or a store's address.
  std::string With;
  /// Why it was not possible.
  absl::Status Status;
  std::optional<uint64_t> Version;
  std::vector<common::entry_change> Changes;
};

/// Result of the command "check".
struct check_result {
  std::string File;
  std::string_view Format;
  std::vector<routing::finding> Findings;
  std::optional<comparison> Comparison;

  size_t count(routing::severity Severity) const;
};

/// Prints one line for each finding and each difference.
void printText(const check_result &Result, std::ostream &Out);

/// Prints one JSON object; docs/OPERATIONS.md names its fields.
void printJson(const check_result &Result, std::ostream &Out);

} // namespace magnolia::ctl
