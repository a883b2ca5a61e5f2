#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

#include <absl/status/statusor.h>

#include "Admission/FairQueue.h"
#include "Admission/RankThreshold.h"

namespace magnolia::admission {

/// Settings of service_turns.
struct turn_settings {
  fair_queue_options Queue{.Charge = charge_unit::Request,
                           .Order = waiting_order::Deadline,
                           .InitialSlotTime = std::chrono::microseconds(0)};
  threshold_settings Threshold;
  /// The arrivals of an instance are smoothed over about this time.
  std::chrono::milliseconds ArrivalsOver{1000};
  /// The low and the high pace of the turns of an instance with peers, relative
  /// to the expected one: its next turns come with its next few requests.
  double LowPace = 1.0 / 3;
  double HighPace = 1.5;
};

/// A request of a service whose requests differ in rank.
struct turn_request {
  std::string_view Workspace;
  size_t Rank = 0;
  /// The latest end of the request; the earlier one applies while the service
  /// is short.
  common::boot_time Deadline;
  common::boot_time DeadlineIfShort;
};

/// What the decision on a turn was based on.
struct turn_inputs {
  size_t Rank = 0;
  bool IsShort = false;
  service_load Load;
  double AdmittedPerSecond = 0;
  /// The fraction of the rank's requests that is admitted.
  double Share = 1;
  size_t Ahead = 0;
  std::chrono::microseconds ExpectedWait{0};
};

/// Decides at one instance which requests of one service may be sent to a
/// target now, and which get no turn in time. While the service has room, all
/// may. While it is short, each request that arrives brings as much of a turn
/// as the share of its rank in rank_threshold, and the turns are granted in the
/// order of fair_queue; an instance without peers knows the slots exactly and
/// grants those that are free. Load pattern: instances of which some have ten
/// times the requests of others, at twice what the targets of the service can
/// run; also from the first second after all of them, or one, have started.
/// Reads no clock; not thread-safe.
class service_turns {
public:
  explicit service_turns(const turn_settings &Settings);

  /// Takes over the load of the fleet, but for its slot time, as known at
  /// \p Now. \p Instances: those that can be reached, this one included.
  void update(const service_load &Known, size_t Instances,
              common::boot_time Now);

  /// Sets the turns that are left over; a service that becomes short starts
  /// with a part of one that differs between the instances, since they must not
  /// all grant, or all refuse, their first requests.
  void setTurns(double Turns) { Tokens = Turns; }

  /// Requests a turn; see fair_queue::submit().
  absl::StatusOr<ticket> submit(const turn_request &Request,
                                common::boot_time Now,
                                fair_queue::decision_hook OnDecision);
  /// Withdraws a request that waits.
  void cancel(ticket Ticket, common::boot_time Now);
  /// Ends a turn.
  void release(ticket Ticket, slot_use Use, common::boot_time Now);
  /// Refuses and grants what time has decided. Call it regularly while requests
  /// wait.
  void advance(common::boot_time Now);

  /// A request with a turn found no target: one tries in each period.
  void onTargetMissing();
  /// A request with a turn found a target. Returns whether none had been there.
  bool onTargetFound();
  /// Lets one request find out whether there is a target again.
  void beginPeriod();

  bool isShort() const { return Threshold.isShort(); }
  bool isBlocked() const { return Blocked; }
  size_t waiting() const { return Queue.counters().Waiting; }
  size_t instances() const { return Instances; }
  double admittedPerSecond() const { return Threshold.admittedPerSecond(); }
  const service_load &load() const { return Load; }
  turn_inputs inputsOf(size_t Rank) const;

private:
  void onGranted();
  void countArrival(size_t Rank, common::boot_time Now);
  size_t capacity() const;
  /// Requests of \p Rank per second that arrive at this instance.
  double arrivalRate(size_t Rank, common::boot_time Now) const;
  grant_pace pace(common::boot_time Now) const;
  double remaining(common::boot_time Now) const;

  const turn_settings Settings;
  rank_threshold Threshold;
  service_load Load;
  /// Those of the load before turns were taken off that were not used yet.
  uint32_t KnownFreeSlots = 0;
  size_t Instances = 1;
  /// Turns that this instance may grant while the service is short.
  double Tokens = 0;
  /// Requests with a turn.
  size_t Running = 0;
  /// The last request with a turn found no target.
  bool Blocked = false;
  /// One request may find out whether there is a target again.
  bool ProbeDue = false;
  /// Requests that arrived lately, by rank; they count less as time passes.
  std::vector<double> Arrived;
  common::boot_time ArrivedAt;
  std::optional<common::boot_time> FirstArrival;
  fair_queue Queue;
};

} // namespace magnolia::admission
