#pragma once

#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "Routing/Configuration.h"

/// Finds mistakes in a configuration that instances can read: entries that
/// never match a request and limits that contradict each other.
namespace magnolia::routing {

enum class severity : uint8_t {
  /// Probably not what was meant.
  Warning,
  /// Instances reject the configuration, or requests fail or are treated as
  /// another route's or workspace's.
  Error,
};

/// Where a value stands. Parts that do not apply are empty or zero.
struct entry_place {
  /// Line of the file, from one.
  int Line = 0;
  std::string Table;
  /// Row of the table, from one.
  size_t Row = 0;
  /// Name of the row's entry.
  std::string Name;
  std::string Column;
};

struct finding {
  severity Severity = severity::Error;
  /// Name of the check.
  std::string_view Check;
  entry_place Place;
  /// What is wrong. Never contains a key.
  std::string Message;
  /// What to do about it.
  std::string_view Remedy;
};

/// A configuration without the rows that could not be read.
struct partial_configuration {
  configuration Configuration;
  /// Row of each entry in its table, from one.
  std::vector<size_t> RouteRows;
  std::vector<size_t> ServiceRows;
  std::vector<size_t> WorkspaceRows;
  /// Whether every row and limit could be read.
  bool Whole = true;
};

/// What a deployment can carry. A check whose figure is absent is not made.
struct check_options {
  /// Requests per second that the targets of all services execute together.
  std::optional<double> FleetRate;
  /// Bytes that one instance may hold for messages.
  std::optional<size_t> MessageBytes;
  /// Services that have a target now.
  std::optional<std::set<std::string>> ServicesWithTargets;
};

class check_report;

struct named_check {
  std::string_view Name;
  severity Severity;
  /// Whether it may only be made if all rows could be read, since it concludes
  /// something from the absence of an entry.
  bool NeedsWhole;
  std::string_view Remedy;
  void (*Run)(check_report &Report);
};

/// All checks, in the order in which they are made.
std::span<const named_check> namedChecks();

/// Makes all checks. The places name tables and columns as the fields of
/// routing::configuration, in lower case: "routes", "latency_objective".
std::vector<finding> checkConfiguration(const partial_configuration &Given,
                                        const check_options &Options);

} // namespace magnolia::routing
