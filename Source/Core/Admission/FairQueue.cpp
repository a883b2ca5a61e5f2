#include "Admission/FairQueue.h"

#include <algorithm>

namespace magnolia::admission {
namespace {

using common::boot_time;
using common::error_kind;

/// Weight of a new sample in a smoothed slot time.
constexpr double Smoothing = 0.1;

/// Interval between removals of idle workspaces.
constexpr std::chrono::seconds SweepPeriod{1};

/// Charge of one request with charge_unit::Request.
constexpr double RequestCharge = 1;

double inMicros(common::boot_clock::duration Time) {
  return static_cast<double>(Time.count());
}

void smooth(double &Mean, double Sample) {
  Mean += Smoothing * (Sample - Mean);
}

} // namespace

fair_queue::fair_queue(const fair_queue_options &Options,
                       capacity_hook Capacity)
    : Capacity(std::move(Capacity)), Options(Options),
      SlotTime(inMicros(Options.InitialSlotTime)) {}

absl::StatusOr<ticket> fair_queue::submit(const admission_request &Request,
                                          boot_time Now,
                                          decision_hook OnDecision) {
  decisions Decisions;
  ticket Ticket = 0;
  {
    const absl::MutexLock Lock(&Mutex);
    workspace_state &State = stateOf(Request.Workspace, Request.Weight);
    State.LastUse = Now;
    if (isLate(State, Request.Deadline, Now)) {
      ++Counters.RefusedDeadline;
      return common::makeError(error_kind::QueueDeadlineExceeded,
                               "too little time is left before the deadline");
    }
    absl::Status Room = makeRoom(State, Decisions);
    if (Room.ok()) {
      Ticket = NextTicket++;
      enqueue(State, {Ticket, Request.Deadline, std::move(OnDecision)});
      grantWaiting(Now, Decisions);
    } else {
      ++Counters.RefusedFull;
      Decisions.push_back({nullptr, 0, std::move(Room)});
    }
  }
  if (Ticket == 0) {
    absl::Status Refusal = std::move(Decisions.back().Status);
    Decisions.pop_back();
    runHooks(Decisions);
    return Refusal;
  }
  runHooks(Decisions);
  return Ticket;
}

bool fair_queue::cancel(ticket Ticket, boot_time Now) {
  const absl::MutexLock Lock(&Mutex);
  const auto Found = WaitingTickets.find(Ticket);
  if (Found == WaitingTickets.end())
    return false;
  workspace_state &State = *Found->second;
  const auto Position = std::find_if(
      State.Waiting.begin(), State.Waiting.end(),
      [&](const waiting_request &W) { return W.Ticket == Ticket; });
  State.Waiting.erase(Position);
  State.LastUse = Now;
  WaitingTickets.erase(Found);
  removeFromBacklogIfEmpty(State);
  ++Counters.Cancelled;
  return true;
}

void fair_queue::release(ticket Ticket, slot_use Use, boot_time Now) {
  decisions Decisions;
  {
    const absl::MutexLock Lock(&Mutex);
    const auto Found = Running.find(Ticket);
    if (Found == Running.end())
      return;
    settleCharge(Found->second, Use, Now);
    --Found->second.Workspace->Running;
    Found->second.Workspace->LastUse = Now;
    Running.erase(Found);
    grantWaiting(Now, Decisions);
  }
  runHooks(Decisions);
}

void fair_queue::advance(boot_time Now) {
  decisions Decisions;
  {
    const absl::MutexLock Lock(&Mutex);
    refuseLate(Now, Decisions);
    grantWaiting(Now, Decisions);
    if (Now - LastSweep >= SweepPeriod)
      removeIdleWorkspaces(Now);
  }
  runHooks(Decisions);
}

void fair_queue::configure(const fair_queue_options &Changed) {
  const absl::MutexLock Lock(&Mutex);
  Options = Changed;
}

fair_queue_counters fair_queue::counters() const {
  const absl::MutexLock Lock(&Mutex);
  fair_queue_counters Result = Counters;
  Result.Waiting = WaitingTickets.size();
  Result.Running = Running.size();
  Result.Workspaces = Workspaces.size();
  return Result;
}

fair_queue::workspace_state &fair_queue::stateOf(std::string_view Name,
                                                 double Weight) {
  std::unique_ptr<workspace_state> &State = Workspaces[std::string(Name)];
  if (!State) {
    State = std::make_unique<workspace_state>();
    State->Number = NextWorkspace++;
    State->SlotTime = SlotTime;
  }
  State->Weight = Weight;
  return *State;
}

void fair_queue::enqueue(workspace_state &State, waiting_request Request) {
  WaitingTickets[Request.Ticket] = &State;
  State.Waiting.push_back(std::move(Request));
  if (State.Waiting.size() > 1)
    return;
  // Idle time earns no credit.
  State.NextStart = std::max(State.NextStart, VirtualTime);
  Backlogged.insert(entryOf(State));
}

void fair_queue::removeFromBacklogIfEmpty(workspace_state &State) {
  if (State.Waiting.empty())
    Backlogged.erase(entryOf(State));
}

/// Makes room for one request of \p Requester. In a full queue the newest
/// request of the workspace with the longest queue relative to its weight is
/// refused, so that no workspace can block others.
absl::Status fair_queue::makeRoom(const workspace_state &Requester,
                                  decisions &Decisions) {
  if (Requester.Waiting.size() >= Options.WorkspaceLimit)
    return common::makeError(error_kind::QueueFull,
                             "the workspace has too many waiting requests");
  if (WaitingTickets.size() < Options.QueueLimit)
    return absl::OkStatus();
  workspace_state *Longest = longestQueue();
  const double NewLength =
      static_cast<double>(Requester.Waiting.size() + 1) / Requester.Weight;
  if (Longest == nullptr ||
      static_cast<double>(Longest->Waiting.size()) / Longest->Weight <=
          NewLength)
    return common::makeError(error_kind::QueueFull, "the queue is full");
  waiting_request &Newest = Longest->Waiting.back();
  Decisions.push_back(
      {std::move(Newest.OnDecision), Newest.Ticket,
       common::makeError(error_kind::QueueFull,
                         "made room for a workspace with less waiting")});
  WaitingTickets.erase(Newest.Ticket);
  Longest->Waiting.pop_back();
  removeFromBacklogIfEmpty(*Longest);
  ++Counters.RefusedFull;
  return absl::OkStatus();
}

fair_queue::workspace_state *fair_queue::longestQueue() {
  const auto Shorter = [](const auto &Left, const auto &Right) {
    const auto Length = [](const workspace_state &State) {
      return static_cast<double>(State.Waiting.size()) / State.Weight;
    };
    return Length(*Left.State) < Length(*Right.State);
  };
  const auto Longest =
      std::max_element(Backlogged.begin(), Backlogged.end(), Shorter);
  return Longest == Backlogged.end() ? nullptr : Longest->State;
}

void fair_queue::grantWaiting(boot_time Now, decisions &Decisions) {
  if (Backlogged.empty())
    return;
  const size_t Slots = Capacity();
  while (Running.size() < Slots && !Backlogged.empty())
    grantNext(Now, Decisions);
}

/// Grants the oldest request of the backlogged workspace with the lowest start
/// tag, after refusing those before it that are late.
void fair_queue::grantNext(boot_time Now, decisions &Decisions) {
  workspace_state &State = *Backlogged.begin()->State;
  while (!State.Waiting.empty() &&
         isLate(State, State.Waiting.front().Deadline, Now)) {
    Decisions.push_back(refuseForDeadline(State.Waiting.front()));
    State.Waiting.pop_front();
  }
  removeFromBacklogIfEmpty(State);
  if (State.Waiting.empty())
    return;
  waiting_request Next = std::move(State.Waiting.front());
  State.Waiting.pop_front();
  WaitingTickets.erase(Next.Ticket);
  removeFromBacklogIfEmpty(State);
  VirtualTime = std::max(VirtualTime, State.NextStart);
  const double Charged =
      Options.Charge == charge_unit::Request ? RequestCharge : State.SlotTime;
  Running[Next.Ticket] = {&State, Now, Charged};
  ++State.Running;
  setNextStart(State, State.NextStart + Charged / State.Weight);
  ++Counters.Granted;
  Decisions.push_back(
      {std::move(Next.OnDecision), Next.Ticket, absl::OkStatus()});
}

void fair_queue::refuseLate(boot_time Now, decisions &Decisions) {
  std::vector<workspace_state *> States;
  States.reserve(Backlogged.size());
  for (const backlog_entry &Entry : Backlogged)
    States.push_back(Entry.State);
  for (workspace_state *State : States)
    refuseLateOf(*State, Now, Decisions);
}

/// Deadlines may differ within a workspace, so each request is checked.
void fair_queue::refuseLateOf(workspace_state &State, boot_time Now,
                              decisions &Decisions) {
  if (State.Waiting.empty())
    return;
  std::erase_if(State.Waiting, [&](waiting_request &Request) {
    if (!isLate(State, Request.Deadline, Now))
      return false;
    Decisions.push_back(refuseForDeadline(Request));
    return true;
  });
  removeFromBacklogIfEmpty(State);
}

fair_queue::decision fair_queue::refuseForDeadline(waiting_request &Request) {
  WaitingTickets.erase(Request.Ticket);
  ++Counters.RefusedDeadline;
  return {std::move(Request.OnDecision), Request.Ticket,
          common::makeError(error_kind::QueueDeadlineExceeded,
                            "waited for a slot until it was too late")};
}

void fair_queue::setNextStart(workspace_state &State, tag Start) {
  const bool WasBacklogged = Backlogged.erase(entryOf(State)) > 0;
  State.NextStart = Start;
  if (WasBacklogged)
    Backlogged.insert(entryOf(State));
}

/// Replaces the charge estimated at the grant with the actual one.
void fair_queue::settleCharge(const running_request &Request, slot_use Use,
                              boot_time Now) {
  workspace_state &State = *Request.Workspace;
  const double Used = inMicros(Now - Request.Granted);
  if (Use == slot_use::Completed) {
    smooth(State.SlotTime, Used);
    smooth(SlotTime, Used);
  }
  if (Options.Charge == charge_unit::Request)
    return;
  const double ActualCharge =
      Use == slot_use::Completed ? Used : std::min(Used, Request.Charged);
  setNextStart(State, State.NextStart +
                          (ActualCharge - Request.Charged) / State.Weight);
}

void fair_queue::removeIdleWorkspaces(boot_time Now) {
  LastSweep = Now;
  absl::erase_if(Workspaces, [&](const auto &Entry) {
    const workspace_state &State = *Entry.second;
    return State.Waiting.empty() && State.Running == 0 &&
           Now - State.LastUse > Options.IdleLifetime;
  });
}

bool fair_queue::isLate(const workspace_state &State, boot_time Deadline,
                        boot_time Now) const {
  const double Left = inMicros(Deadline - Now);
  return Left <= 0 || Left < Options.DeadlineMargin * State.SlotTime;
}

void fair_queue::runHooks(const decisions &Decisions) {
  for (const decision &Decision : Decisions)
    Decision.Hook(Decision.Ticket, Decision.Status);
}

} // namespace magnolia::admission
