#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include <absl/status/statusor.h>

/// Open-loop load on a fleet, described by a file that is repeatable by seed.
namespace magnolia::load {

using std::chrono::microseconds;

/// One kind of request of a workspace.
struct request_kind {
  std::string Method;
  std::string Path;
  /// How often it is drawn relative to the others.
  double Weight = 1;
  size_t BodyBytes = 0;
  /// Sends a fresh Idempotency-Key.
  bool IdempotencyKey = false;
};

/// The callers of one workspace.
struct workspace_load {
  std::string Name;
  /// The secret that they present.
  std::string Key;
  /// What the workspace's contract allows, over the whole fleet.
  double Rate = 1;
  double Burst = 1;
  /// Requests that it sends as a multiple of its rate.
  double Load = 1;
  /// Callers, each of which asks the directory for itself.
  uint32_t Callers = 8;
  /// Sends everything to this address instead of asking the directory.
  std::string Entry;
  std::vector<request_kind> Requests;
};

/// A request that changes something while the load runs, such as the mode of a
/// stand-in.
struct scheduled_event {
  microseconds At{0};
  std::string Address;
  std::string Method;
  std::string Path;
  std::string Body;
  /// Targets that are gray from now on.
  std::vector<std::string> Gray;
};

/// Calls straight to targets, against which added latency is measured.
struct direct_load {
  /// Requests per second; zero for none.
  double Rate = 0;
  std::vector<std::string> Targets;
  std::string Path;
};

struct experiment {
  std::string Name;
  uint64_t Seed = 1;
  microseconds Duration{0};
  /// Left out of the figures, counted from the start.
  microseconds WarmUp{0};
  uint64_t MaxRequests = 0;
  uint32_t Threads = 64;
  microseconds Timeout{0};
  /// One-way delay between callers and instances, added by waiting.
  microseconds ClientDelay{0};
  /// Instances that are asked for the directory.
  std::vector<std::string> Entries;
  /// Addresses that serve /metrics.
  std::vector<std::string> Metrics;
  std::vector<workspace_load> Workspaces;
  std::vector<scheduled_event> Events;
  direct_load Direct;
};

/// Reads and checks the file at \p Path; all mistakes come at once.
absl::StatusOr<experiment> readExperiment(const std::string &Path);

} // namespace magnolia::load
