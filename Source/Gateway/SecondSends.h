#pragma once

#include <array>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <absl/container/flat_hash_map.h>

#include "Common/Metrics.h"
#include "Gateway/FleetAgent.h"
#include "Placement/TargetSet.h"
#include "Request/RecentLatencies.h"
#include "Request/SecondSend.h"

namespace magnolia::gateway {

/// The requests whose latencies are compared: those of one route to one
/// service.
struct latency_key {
  std::string_view Service;
  std::string_view Route;
};

/// A request that waits longer than is usual.
struct late_request {
  std::string_view Id;
  latency_key Key;
  bool Repeatable = false;
  bool HasOtherTarget = false;
  /// Time since its last send.
  duration Waited{0};
  /// Time until its response must be sent.
  duration TimeLeft{0};
};

/// Second sends of one instance while the operator limits them: when a request
/// counts as late, whether it may be sent to a second target, and what became
/// of that. Without a limit, none of this is used.
class second_sends {
public:
  second_sends(event::event_loop &Loop, placement::target_set &TargetSet,
               fleet_agent &Fleet)
      : Loop(Loop), TargetSet(TargetSet), Fleet(Fleet) {}

  /// Whether the operator set a limit, which may be zero.
  bool isLimited() const {
    return Fleet.budgets().secondSendLimit().has_value();
  }

  /// Time after which a send counts as late; none while the usual latency is
  /// not known, or if the limit is zero.
  std::optional<duration> delayFor(const latency_key &Key) const;

  /// Counts a send for which delayFor() was known.
  void onTimedSend(const latency_key &Key);

  /// Decides whether \p Request is sent to a second target now. If so, the
  /// second send is counted in the budgets.
  bool tryStart(const late_request &Request);

  /// Records the latency of a send: that of its response, or the time after
  /// which it was cancelled.
  void addLatency(const latency_key &Key, duration Latency);

  void onWon() { ++Won; }
  void onCancelled() { ++Cancelled; }

  /// Forgets latencies of routes without requests for long.
  void advance();

  void addSamples(std::vector<common::metric_sample> &Samples) const;

private:
  struct history {
    request::recent_latencies Latencies;
    boot_time LastUsed;
  };
  struct decision {
    request::second_send_state State;
    request::second_send_reason Reason = request::second_send_reason::Start;
    fleet::second_send_budget Budget;
  };

  const history *find(const latency_key &Key) const;
  request::second_send_state stateOf(const late_request &Request);
  decision decide(const late_request &Request);
  static void log(const late_request &Request, const decision &Decision);

  event::event_loop &Loop;
  placement::target_set &TargetSet;
  fleet_agent &Fleet;
  /// By service and route.
  absl::flat_hash_map<std::string, absl::flat_hash_map<std::string, history>>
      Histories;
  /// Decisions by reason; those to start are the second sends.
  std::array<uint64_t, static_cast<size_t>(request::second_send_reason::Count)>
      Decisions{};
  uint64_t Won = 0;
  uint64_t Cancelled = 0;
};

} // namespace magnolia::gateway
