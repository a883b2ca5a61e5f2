#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include <absl/base/thread_annotations.h>
#include <absl/container/btree_map.h>
#include <absl/synchronization/mutex.h>

#include "Admission/LimitRule.h"

namespace magnolia::admission {

/// A target that may get new requests.
struct target_slots {
  std::string Name;
  /// Maximum number of requests that it runs concurrently, for all instances
  /// together.
  uint32_t Slots = 1;
};

/// The limit of one target as operators see it.
struct target_limit {
  std::string Name;
  double Limit = 0;
  uint32_t InFlight = 0;
};

/// The adaptive concurrency limits of one service's targets in one instance.
/// Their sum bounds the service's requests in flight; a single target accepts
/// its own limit rounded up, so that fractions of a slot add up. Thread-safe.
class concurrency_limits {
public:
  explicit concurrency_limits(limit_rule Rule) : Rule(std::move(Rule)) {}

  /// Sets the targets that may get new requests; draining and ejected targets
  /// are left out. \p Sharers is the number of instances that use them; a new
  /// target starts with its slots divided by that number. Limits of known
  /// targets are kept.
  void setTargets(std::span<const target_slots> Usable, uint32_t Sharers);

  /// Requests of the service that may be in flight at once, at least one while
  /// a target is usable. The capacity_hook of a fair_queue.
  size_t capacity() const;

  /// Whether a usable target may get one more request now.
  bool hasRoom(std::string_view Target) const;

  /// Counts a request that is about to be written to \p Target; false when the
  /// target has no room. Some usable target has room as long as fewer than
  /// capacity() requests are in flight.
  bool tryStart(std::string_view Target);

  /// Ends a request counted by tryStart() and adapts the target's limit.
  void finish(std::string_view Target, target_outcome Outcome,
              std::chrono::microseconds Latency, common::boot_time Now);

  std::vector<target_limit> limits() const;

private:
  struct target_state {
    limit_state Limit;
    uint32_t InFlight = 0;
    bool Usable = false;
  };

  static bool hasRoomFor(const target_state &State);

  limit_rule Rule;
  mutable absl::Mutex Mutex;
  /// Ordered, so that floating-point sums are the same for the same history.
  absl::btree_map<std::string, target_state> Targets ABSL_GUARDED_BY(Mutex);
};

} // namespace magnolia::admission
