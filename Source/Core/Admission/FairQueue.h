#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <tuple>
#include <utility>
#include <vector>

#include <absl/base/thread_annotations.h>
#include <absl/container/btree_set.h>
#include <absl/container/flat_hash_map.h>
#include <absl/status/statusor.h>
#include <absl/synchronization/mutex.h>

#include "Common/ErrorKind.h"
#include "Common/Time.h"

/// Admission of requests: which request of a service runs next, and how many
/// run concurrently.
namespace magnolia::admission {

/// Identifies one submitted request of one queue.
using ticket = uint64_t;

/// What a workspace is charged for a request.
enum class charge_unit : uint8_t {
  /// The time for which the request held a slot.
  SlotTime,
  /// One unit per request, however long it ran.
  Request,
};

/// How a granted request ended.
enum class slot_use : uint8_t {
  /// The request completed; its time is charged to the workspace.
  Completed,
  /// The target refused or failed; the workspace is charged no more than the
  /// usual slot time.
  Failed,
};

/// Which request of a workspace and rank runs next.
enum class waiting_order : uint8_t {
  Arrival,
  /// The one with the earliest deadline; those with the same deadline in the
  /// order of arrival.
  Deadline,
};

/// A request that wants a slot.
struct admission_request {
  std::string_view Workspace;
  /// Share of the slots relative to other workspaces, above zero.
  double Weight = 1;
  /// When the response must be complete.
  common::boot_time Deadline;
  /// Zero is the most urgent.
  size_t Rank = 0;
};

/// Bounds of one queue.
struct fair_queue_options {
  /// Requests that may wait.
  size_t QueueLimit = 256;
  /// Requests of one workspace that may wait.
  size_t WorkspaceLimit = 128;
  charge_unit Charge = charge_unit::SlotTime;
  waiting_order Order = waiting_order::Arrival;
  /// Slot time that is assumed before the first measurement; zero: none, and
  /// the first measurement counts alone.
  std::chrono::microseconds InitialSlotTime{20000};
  /// A request is refused when less than this fraction of the usual slot time
  /// is left before its deadline.
  double DeadlineMargin = 0.5;
  /// The state of a workspace without requests is removed after this time.
  std::chrono::microseconds IdleLifetime{10000000};
  /// The part of the grants that waiting ranks get together before the most
  /// urgent one.
  double LesserRankShare = 0.1;
};

/// How many grants per second are expected while requests wait; zero: unknown,
/// so that no turn is expected.
struct grant_pace {
  double Expected = 0;
  /// A new request is accepted if its turn comes in time at the low pace. At
  /// the expected one half of those at the limit would wait in vain.
  double Low = 0;
  /// With waiting_order::Deadline a waiting request is refused when its turn
  /// comes too late even at the high pace.
  double High = 0;
};

/// Totals and gauges of one queue.
struct fair_queue_counters {
  uint64_t Granted = 0;
  uint64_t RefusedFull = 0;
  uint64_t RefusedDeadline = 0;
  uint64_t Cancelled = 0;
  size_t Waiting = 0;
  size_t Running = 0;
  size_t Workspaces = 0;
};

/// A bounded queue in front of the slots of one service. The most urgent rank
/// runs next, but each waiting rank gets a small part of the grants. Within a
/// rank the queue is fair between workspaces by start-time fair queueing: the
/// request with the lowest virtual start time runs next, and a workspace's
/// virtual time advances by the charge of its requests divided by its weight.
/// Within a workspace the order is that of the options. A request that cannot
/// run in time is refused as soon as that is known. Load pattern: twice the
/// requests that a service can run, some of them urgent, and within a workspace
/// some with a deadline of a few slot times behind others that can wait for
/// seconds. Reads no clock; thread-safe. Hooks run without the lock held.
class fair_queue {
public:
  /// Receives the decision on a request: ok when the request may run, QueueFull
  /// or QueueDeadlineExceeded when it was refused without having run. Called
  /// once unless the ticket is cancelled first, possibly from within submit().
  using decision_hook =
      std::function<void(ticket Ticket, const absl::Status &Decision)>;

  /// Returns how many requests may run concurrently. Called for each decision;
  /// must not call the queue.
  using capacity_hook = std::function<size_t()>;

  fair_queue(const fair_queue_options &Options, capacity_hook Capacity);

  /// Requests a slot. An immediate refusal is returned and the hook is not
  /// called.
  absl::StatusOr<ticket> submit(const admission_request &Request,
                                common::boot_time Now,
                                decision_hook OnDecision);

  /// Withdraws a waiting request, whose hook is then never called. Returns
  /// false when it is no longer waiting: a grant must then still be released.
  bool cancel(ticket Ticket, common::boot_time Now);

  /// Ends a granted request and grants waiting ones.
  void release(ticket Ticket, slot_use Use, common::boot_time Now);

  /// Refuses requests that cannot meet their deadline, with a known pace also
  /// those whose turn would come too late for it, and grants as many as
  /// capacity allows. Call it regularly and whenever capacity has grown.
  void advance(common::boot_time Now);

  /// Sets the expected pace of grants. A request is then refused at once if its
  /// turn would come too late for its deadline.
  void setPace(const grant_pace &Changed);
  /// The same for a pace that is known exactly.
  void setPace(double GrantsPerSecond) {
    setPace(grant_pace{GrantsPerSecond, GrantsPerSecond, GrantsPerSecond});
  }

  /// The time until a new request of \p Rank would be granted; zero if the pace
  /// is unknown.
  std::chrono::microseconds expectedWait(size_t Rank) const;

  /// Waiting requests of \p Rank and more urgent ones.
  size_t waitingAhead(size_t Rank) const;

  /// The usual time for which a request holds a slot.
  std::chrono::microseconds slotTime() const;

  /// Replaces the bounds; requests that already wait beyond them stay.
  void configure(const fair_queue_options &Changed);

  fair_queue_counters counters() const;

private:
  using tag = double;

  struct waiting_request {
    ticket Ticket;
    common::boot_time Deadline;
    decision_hook OnDecision;
  };

  struct rank_state;

  /// The requests of one workspace and rank.
  struct workspace_state {
    rank_state *Rank = nullptr;
    /// Breaks ties between equal tags in the order of first use.
    uint64_t Number = 0;
    double Weight = 1;
    std::deque<waiting_request> Waiting;
    size_t Running = 0;
    /// Virtual time at which its next request starts.
    tag NextStart = 0;
    /// Smoothed slot time in microseconds.
    double SlotTime = 0;
    common::boot_time LastUse;
  };

  struct backlog_entry {
    tag Start;
    uint64_t Number;
    workspace_state *State;

    bool operator<(const backlog_entry &Other) const {
      return std::tie(Start, Number) < std::tie(Other.Start, Other.Number);
    }
  };

  struct rank_state {
    /// Zero is the most urgent.
    size_t Number = 0;
    /// Workspaces with waiting requests, by the start of the next one.
    absl::btree_set<backlog_entry> Backlogged;
    tag VirtualTime = 0;
    size_t Waiting = 0;
    /// Guaranteed grants that it has not had yet.
    double Credit = 0;
    /// Since its last grant a request was refused because its turn would have
    /// come too late.
    bool AskedInVain = false;
    /// Its smoothed part of the grants.
    double GrantedPart = 0;
  };

  struct running_request {
    workspace_state *Workspace;
    common::boot_time Granted;
    /// Charged at the grant, corrected at the release.
    double Charged;
  };

  struct decision {
    decision_hook Hook;
    ticket Ticket;
    absl::Status Status;
  };

  using decisions = std::vector<decision>;

  static backlog_entry entryOf(workspace_state &State) {
    return {State.NextStart, State.Number, &State};
  }

  workspace_state &stateOf(const admission_request &Request)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(Mutex);
  void enqueue(workspace_state &State, waiting_request Request)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(Mutex);
  void removeFromBacklogIfEmpty(workspace_state &State)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(Mutex);
  absl::Status makeRoom(const workspace_state &Requester, decisions &Decisions)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(Mutex);
  /// The least urgent rank with waiting requests; null without any.
  rank_state *leastUrgent() ABSL_EXCLUSIVE_LOCKS_REQUIRED(Mutex);
  /// The rank whose turn it is; null without waiting requests.
  rank_state *nextRank() ABSL_EXCLUSIVE_LOCKS_REQUIRED(Mutex);
  void countGrant(rank_state &Granted) ABSL_EXCLUSIVE_LOCKS_REQUIRED(Mutex);
  /// Refuses the request of the longest queue that would run last.
  void dropLast(workspace_state &Longest, decisions &Decisions)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(Mutex);
  void takeOut(const waiting_request &Request, workspace_state &State)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(Mutex);
  absl::Status checkTurn(const workspace_state &State,
                         const admission_request &Request,
                         common::boot_time Now)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(Mutex);
  size_t aheadOf(size_t Rank) const ABSL_EXCLUSIVE_LOCKS_REQUIRED(Mutex);
  /// Where a new request with this deadline waits in its workspace.
  size_t positionOf(const workspace_state &State,
                    common::boot_time Deadline) const
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(Mutex);
  /// Waiting requests that are granted before the one at \p Position of
  /// \p State, if no more arrive.
  size_t turnsBefore(const workspace_state &State, size_t Position) const
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(Mutex);
  double chargeOf(const workspace_state &State) const
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(Mutex);
  /// The part of the grants that \p Rank gets beside those of requests that are
  /// more urgent and arrive later.
  double partOf(size_t Rank) const ABSL_EXCLUSIVE_LOCKS_REQUIRED(Mutex);
  /// The time until the turn of a request of \p Rank with \p Ahead others
  /// before it; zero if the pace is unknown.
  std::chrono::microseconds waitAfter(size_t Ahead, size_t Rank,
                                      double GrantsPerSecond) const
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(Mutex);
  static workspace_state *longestQueue(const rank_state &Rank);
  void grantWaiting(common::boot_time Now, decisions &Decisions)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(Mutex);
  void grantNext(rank_state &Rank, common::boot_time Now, decisions &Decisions)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(Mutex);
  void refuseLate(common::boot_time Now, decisions &Decisions)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(Mutex);
  void refuseLateOf(workspace_state &State, common::boot_time Now,
                    decisions &Decisions) ABSL_EXCLUSIVE_LOCKS_REQUIRED(Mutex);
  /// Refuses requests whose turn would come too late.
  void refuseWithoutTurn(common::boot_time Now, decisions &Decisions)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(Mutex);
  decision refuseForDeadline(waiting_request &Request, workspace_state &State,
                             std::string_view Detail)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(Mutex);
  void setNextStart(workspace_state &State, tag Start)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(Mutex);
  void settleCharge(const running_request &Request, slot_use Use,
                    common::boot_time Now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(Mutex);
  void removeIdleWorkspaces(common::boot_time Now)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(Mutex);
  bool isLate(const workspace_state &State, common::boot_time Deadline,
              common::boot_time Now) const ABSL_EXCLUSIVE_LOCKS_REQUIRED(Mutex);
  static void runHooks(const decisions &Decisions);

  capacity_hook Capacity;

  mutable absl::Mutex Mutex;
  fair_queue_options Options ABSL_GUARDED_BY(Mutex);
  /// By name and rank.
  absl::flat_hash_map<std::pair<std::string, size_t>,
                      std::unique_ptr<workspace_state>>
      Workspaces ABSL_GUARDED_BY(Mutex);
  /// The most urgent first.
  std::map<size_t, rank_state> Ranks ABSL_GUARDED_BY(Mutex);
  absl::flat_hash_map<ticket, workspace_state *>
      WaitingTickets ABSL_GUARDED_BY(Mutex);
  absl::flat_hash_map<ticket, running_request> Running ABSL_GUARDED_BY(Mutex);
  grant_pace Pace ABSL_GUARDED_BY(Mutex);
  /// Smoothed slot time over all workspaces in microseconds.
  double SlotTime ABSL_GUARDED_BY(Mutex);
  common::boot_time LastSweep ABSL_GUARDED_BY(Mutex);
  uint64_t NextWorkspace ABSL_GUARDED_BY(Mutex) = 0;
  ticket NextTicket ABSL_GUARDED_BY(Mutex) = 1;
  fair_queue_counters Counters ABSL_GUARDED_BY(Mutex);
};

} // namespace magnolia::admission
