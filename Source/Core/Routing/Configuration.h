#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "Common/Time.h"

/// Routing of requests to services, and the workspaces that they belong to.
namespace magnolia::routing {

using duration = common::boot_clock::duration;

/// Whether a request may run more than once.
enum class repeatability : uint8_t { Repeatable, AtMostOnce };

/// What becomes of a value that cannot be read. It depends on the value alone
/// and not on an earlier version, so that all instances see the same.
enum class unreadable_effect : uint8_t {
  /// The version does not come into force.
  VersionRejected,
  /// The entry is closed.
  EntryClosed,
  /// The value counts as not given.
  ValueOmitted,
  /// The value can be read and counts as the nearest one that can be kept.
  ValueAdjusted,
};

/// "version_rejected", "entry_closed", "value_omitted" or "value_adjusted".
std::string_view nameOf(unreadable_effect Effect);

/// A value of a configuration that cannot be read.
struct unreadable_value {
  std::string Table;
  /// Row of the table, from one; zero if it is in none.
  size_t Row = 0;
  /// Name of the row's entry, if that can be read.
  std::string Name;
  std::string Column;
  /// Never contains a key.
  std::string Message;
  unreadable_effect Effect = unreadable_effect::VersionRejected;
};

/// A service and its share of a route's requests.
struct split_part {
  std::string Service;
  /// Not negative. Only its ratio to the weights of the other parts counts.
  double Weight = 0;

  friend bool operator==(const split_part &, const split_part &) = default;
};

struct route {
  std::string Name;
  std::string Host;
  /// Begins and ends with a slash.
  std::string Prefix;
  repeatability Repeatability = repeatability::AtMostOnce;
  /// Maximum time until the caller gets a response.
  duration Timeout = std::chrono::seconds(60);
  /// Objective for the time until the response; a later response is worth less.
  duration LatencyObjective = std::chrono::seconds(1);
  /// Not negative; zero is the most urgent.
  double Priority = 0;
  std::vector<split_part> Parts;
  /// Maximum number of targets to which one request may be sent.
  uint32_t MaxAttempts = 1;
  /// Whether callers need no API key.
  bool Public = false;
  /// The only regions in which its requests may run; empty: all.
  std::vector<std::string> HomeRegions = {};
  /// It is not known what the operator allows it: its requests are refused. A
  /// closed route without a prefix closes its host, one without a host all
  /// hosts, since any request may be meant for it.
  bool Closed = false;
};

struct service {
  std::string Name;
  /// Maximum number of connections that one target accepts, over all its
  /// clients.
  uint32_t MaxConnections = 0;
  /// How long its targets are usually cold after their start.
  duration Warmup{0};
  /// Requests per second that a cold target takes from the whole fleet; zero:
  /// no limit.
  double WarmupPerSecond = 0;
};

struct workspace {
  std::string Name;
  std::vector<std::string> Keys;
  /// Takes precedence over the route's, if given; zero is the most urgent.
  std::optional<double> Priority;
  /// Requests per second over the whole fleet; zero: no limit.
  double RatePerSecond = 0;
  double Burst = 0;
  /// As in route; both bind.
  std::vector<std::string> HomeRegions = {};
  /// It is not known what the operator allows it: its requests are refused.
  bool Closed = false;
  /// Whether all its keys could be read. Otherwise a key that nobody holds may
  /// be one of them.
  bool KeysKnown = true;
};

/// Limits for requests and connections of callers.
struct caller_limits {
  size_t HeadBytes = size_t{16} * 1024;
  size_t BodyBytes = size_t{64} * 1024 * 1024;
  duration HeadTimeout = std::chrono::seconds(3);
  duration IdleTimeout = std::chrono::seconds(15);
};

/// One accepted version of the operators' configuration.
struct configuration {
  uint64_t Version = 0;
  std::vector<route> Routes;
  std::vector<service> Services;
  /// Whether requests on routes that are not public need a key, also if no
  /// workspace holds one.
  bool RequiresKeys = true;
  std::vector<workspace> Workspaces;
  caller_limits Limits;
  /// What in it is not in force.
  std::vector<unreadable_value> Unreadable = {};
  /// What in it counts as another value.
  std::vector<unreadable_value> Adjusted = {};
};

} // namespace magnolia::routing
