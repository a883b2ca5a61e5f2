#pragma once

#include <array>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include <absl/container/flat_hash_map.h>
#include <absl/random/bit_gen_ref.h>
#include <absl/status/statusor.h>

#include "Admission/ServiceTurns.h"
#include "Net/Event/EventLoop.h"

namespace magnolia::gateway {

using common::boot_time;
using duration = common::boot_clock::duration;

/// Settings of service_queues.
struct queue_settings {
  /// Whether requests take turns by rank at all.
  bool ByRank = false;
  /// Whether they do so only where targets are divided among the instances.
  /// Elsewhere an instance mostly knows the room of a target by itself, and
  /// fewer instances agree on a shortage too late to gain by waiting.
  bool OnlyWhereDivided = true;
  admission::turn_settings Turns;
  /// Requests that found no target try again in this period, one after the
  /// other.
  duration Period = std::chrono::milliseconds(25);
  /// The known load is renewed after this time.
  duration LoadLifetime = std::chrono::milliseconds(20);
};

/// Bounds of the histogram of waiting times; the last bucket has none.
constexpr std::array<std::chrono::milliseconds, 5> WaitBounds = {
    std::chrono::milliseconds(1), std::chrono::milliseconds(10),
    std::chrono::milliseconds(50), std::chrono::milliseconds(200),
    std::chrono::milliseconds(1000)};

/// Totals of one rank since the start.
struct rank_counters {
  uint64_t Refused = 0;
  /// Requests that got a turn, by how long they waited for it.
  std::array<uint64_t, WaitBounds.size() + 1> Waited{};
};

/// Lets requests of services whose requests differ in rank take turns: the
/// decisions are those of admission::service_turns, one for each service. This
/// gives them the known load, and time.
class service_queues {
public:
  struct hooks {
    /// The load of a service with this number of ranks, but its slot time.
    std::function<admission::service_load(std::string_view Service,
                                          size_t RankCount)>
        LoadOf;
    /// Reachable instances, this one included.
    std::function<size_t()> Instances;
  };

  service_queues(event::event_loop &Loop, const queue_settings &Settings,
                 absl::BitGenRef Random, hooks Hooks);
  ~service_queues();

  /// Requests a turn; see fair_queue::submit(). \p RankCount: ranks of the
  /// service.
  absl::StatusOr<admission::ticket>
  submit(std::string_view Service, size_t RankCount,
         const admission::turn_request &Request,
         admission::fair_queue::decision_hook OnDecision);
  /// Withdraws a request that waits.
  void cancel(std::string_view Service, admission::ticket Ticket);
  /// Ends a turn.
  void release(std::string_view Service, admission::ticket Ticket,
               admission::slot_use Use);

  /// A request with a turn found no target: the next one tries after a period.
  void onTargetMissing(std::string_view Service);
  /// A request with a turn found a target.
  void onTargetFound(std::string_view Service);

  /// The known load may have changed.
  void onReport();

  admission::turn_inputs inputsOf(std::string_view Service, size_t Rank);
  /// Whether the service is known to be short of room.
  bool isShort(std::string_view Service);

  size_t waiting() const;
  /// By rank.
  const std::vector<rank_counters> &counters() const { return Counters; }

  /// A service that is short of room.
  struct short_service {
    std::string Name;
    /// Requests per second over the fleet.
    double Admitted = 0;
  };
  std::vector<short_service> shortServices() const;

private:
  struct service_state;

  service_state &stateOf(std::string_view Service, size_t RankCount);
  service_state *find(std::string_view Service);
  void refresh(service_state &State, bool Anew);
  void logShortage(const service_state &State) const;
  void countGrant(size_t Rank, duration Waited);
  rank_counters &countersOf(size_t Rank);
  void schedule(duration Delay);
  void advanceAll();

  event::event_loop &Loop;
  const queue_settings Settings;
  absl::BitGenRef Random;
  const hooks Hooks;
  absl::flat_hash_map<std::string, std::unique_ptr<service_state>> Services;
  std::vector<rank_counters> Counters;
  bool Scheduled = false;
};

} // namespace magnolia::gateway
