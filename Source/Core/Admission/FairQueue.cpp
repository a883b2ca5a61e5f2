#include "Admission/FairQueue.h"

#include <algorithm>
#include <cmath>

namespace magnolia::admission {
namespace {

using common::boot_time;
using common::error_kind;

/// Weight of a new sample in a smoothed slot time.
constexpr double Smoothing = 0.1;

/// The same for the part of a rank in the grants.
constexpr double PartSmoothing = 0.02;

/// Interval between removals of idle workspaces.
constexpr std::chrono::seconds SweepPeriod{1};

/// Guaranteed grants that a rank may have left over.
constexpr double MaxCredit = 2;

/// Charge of one request with charge_unit::Request.
constexpr double RequestCharge = 1;

constexpr std::string_view WaitedTooLong =
    "waited for a slot until it was too late";

double inMicros(common::boot_clock::duration Time) {
  return static_cast<double>(Time.count());
}

void smooth(double &Mean, double Sample) {
  Mean += (Mean > 0 ? Smoothing : 1) * (Sample - Mean);
}

void smoothPart(double &Part, double Sample) {
  Part += PartSmoothing * (Sample - Part);
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
    workspace_state &State = stateOf(Request);
    State.LastUse = Now;
    absl::Status InTime = checkTurn(State, Request, Now);
    if (!InTime.ok()) {
      ++Counters.RefusedDeadline;
      return InTime;
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
  takeOut(*Position, State);
  State.Waiting.erase(Position);
  State.LastUse = Now;
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
    refuseWithoutTurn(Now, Decisions);
    if (Now - LastSweep >= SweepPeriod)
      removeIdleWorkspaces(Now);
  }
  runHooks(Decisions);
}

void fair_queue::configure(const fair_queue_options &Changed) {
  const absl::MutexLock Lock(&Mutex);
  Options = Changed;
}

void fair_queue::setPace(const grant_pace &Changed) {
  const absl::MutexLock Lock(&Mutex);
  Pace = Changed;
}

std::chrono::microseconds fair_queue::expectedWait(size_t Rank) const {
  const absl::MutexLock Lock(&Mutex);
  return waitAfter(aheadOf(Rank), Rank, Pace.Expected);
}

size_t fair_queue::waitingAhead(size_t Rank) const {
  const absl::MutexLock Lock(&Mutex);
  return aheadOf(Rank);
}

std::chrono::microseconds fair_queue::slotTime() const {
  const absl::MutexLock Lock(&Mutex);
  return std::chrono::microseconds(static_cast<int64_t>(SlotTime));
}

/// Waiting requests of \p Rank and more urgent ones.
size_t fair_queue::aheadOf(size_t Rank) const {
  size_t Ahead = 0;
  for (const auto &[Other, State] : Ranks)
    if (Other <= Rank)
      Ahead += State.Waiting;
  return Ahead;
}

double fair_queue::partOf(size_t Rank) const {
  double Left = 1;
  for (const auto &[Other, State] : Ranks)
    if (Other < Rank)
      Left -= State.GrantedPart;
  return std::max(Left, Options.LesserRankShare);
}

std::chrono::microseconds fair_queue::waitAfter(size_t Ahead, size_t Rank,
                                                double GrantsPerSecond) const {
  if (GrantsPerSecond <= 0)
    return std::chrono::microseconds(0);
  return std::chrono::duration_cast<std::chrono::microseconds>(
      std::chrono::duration<double>(static_cast<double>(Ahead + 1) /
                                    (GrantsPerSecond * partOf(Rank))));
}

double fair_queue::chargeOf(const workspace_state &State) const {
  return Options.Charge == charge_unit::Request ? RequestCharge
                                                : State.SlotTime;
}

size_t fair_queue::positionOf(const workspace_state &State,
                              boot_time Deadline) const {
  if (Options.Order == waiting_order::Arrival)
    return State.Waiting.size();
  const auto Later =
      std::upper_bound(State.Waiting.begin(), State.Waiting.end(), Deadline,
                       [](boot_time Left, const waiting_request &Right) {
                         return Left < Right.Deadline;
                       });
  return static_cast<size_t>(Later - State.Waiting.begin());
}

size_t fair_queue::turnsBefore(const workspace_state &State,
                               size_t Position) const {
  const rank_state &Rank = *State.Rank;
  size_t Ahead = Position;
  for (const auto &[Other, Each] : Ranks)
    if (Other < Rank.Number)
      Ahead += Each.Waiting;
  const tag First = State.Waiting.empty()
                        ? std::max(State.NextStart, Rank.VirtualTime)
                        : State.NextStart;
  const tag Start =
      First + static_cast<double>(Position) * chargeOf(State) / State.Weight;
  for (const backlog_entry &Other : Rank.Backlogged) {
    if (Other.State == &State || Other.Start > Start)
      continue;
    // Its requests start one charge after the other. Those that start before
    // this one come first, and of two that start together that of the workspace
    // with the lower number.
    const double Charge = chargeOf(*Other.State) / Other.State->Weight;
    const double Passed = Charge > 0 ? (Start - Other.Start) / Charge : 0;
    const double Turns = Other.Number < State.Number ? std::floor(Passed) + 1
                                                     : std::ceil(Passed);
    const auto Waiting = static_cast<double>(Other.State->Waiting.size());
    Ahead += static_cast<size_t>(std::min(Turns, Waiting));
  }
  return Ahead;
}

/// Whether the turn of \p Request comes in time for its deadline.
absl::Status fair_queue::checkTurn(const workspace_state &State,
                                   const admission_request &Request,
                                   boot_time Now) {
  if (isLate(State, Request.Deadline, Now))
    return common::makeError(error_kind::QueueDeadlineExceeded,
                             "too little time is left before the deadline");
  const bool HasTurn =
      aheadOf(Request.Rank) == 0 && Running.size() < Capacity();
  rank_state &Rank = *State.Rank;
  const bool IsNext = Rank.Waiting == 0 && Rank.Credit >= 1;
  if (Pace.Low <= 0 || HasTurn || IsNext)
    return absl::OkStatus();
  const size_t Ahead = turnsBefore(State, positionOf(State, Request.Deadline));
  const boot_time Turn = Now + waitAfter(Ahead, Request.Rank, Pace.Low);
  if (!isLate(State, Request.Deadline, Turn))
    return absl::OkStatus();
  Rank.AskedInVain = true;
  return common::makeError(error_kind::QueueDeadlineExceeded,
                           "its turn would come too late for the deadline");
}

fair_queue_counters fair_queue::counters() const {
  const absl::MutexLock Lock(&Mutex);
  fair_queue_counters Result = Counters;
  Result.Waiting = WaitingTickets.size();
  Result.Running = Running.size();
  Result.Workspaces = Workspaces.size();
  return Result;
}

fair_queue::workspace_state &
fair_queue::stateOf(const admission_request &Request) {
  std::unique_ptr<workspace_state> &State =
      Workspaces[{std::string(Request.Workspace), Request.Rank}];
  if (!State) {
    State = std::make_unique<workspace_state>();
    State->Rank = &Ranks[Request.Rank];
    State->Rank->Number = Request.Rank;
    State->Number = NextWorkspace++;
    State->SlotTime = SlotTime;
  }
  State->Weight = Request.Weight;
  return *State;
}

void fair_queue::enqueue(workspace_state &State, waiting_request Request) {
  WaitingTickets[Request.Ticket] = &State;
  const size_t Position = positionOf(State, Request.Deadline);
  State.Waiting.insert(State.Waiting.begin() +
                           static_cast<std::ptrdiff_t>(Position),
                       std::move(Request));
  rank_state &Rank = *State.Rank;
  ++Rank.Waiting;
  if (State.Waiting.size() > 1)
    return;
  // Idle time earns no credit.
  State.NextStart = std::max(State.NextStart, Rank.VirtualTime);
  Rank.Backlogged.insert(entryOf(State));
}

/// Records that \p Request of \p State waits no longer.
void fair_queue::takeOut(const waiting_request &Request,
                         workspace_state &State) {
  WaitingTickets.erase(Request.Ticket);
  rank_state &Rank = *State.Rank;
  --Rank.Waiting;
  if (Rank.Waiting == 0 && !Rank.AskedInVain)
    Rank.Credit = 0;
}

void fair_queue::removeFromBacklogIfEmpty(workspace_state &State) {
  if (State.Waiting.empty())
    State.Rank->Backlogged.erase(entryOf(State));
}

/// Makes room for one request of \p Requester. In a full queue the last
/// request of the workspace with the longest queue relative to its weight is
/// refused, so that no workspace can block others: of the least urgent rank if
/// that is less urgent, else of the requester's own rank.
absl::Status fair_queue::makeRoom(const workspace_state &Requester,
                                  decisions &Decisions) {
  if (Requester.Waiting.size() >= Options.WorkspaceLimit)
    return common::makeError(error_kind::QueueFull,
                             "the workspace has too many waiting requests");
  if (WaitingTickets.size() < Options.QueueLimit)
    return absl::OkStatus();
  const rank_state *LeastUrgent = leastUrgent();
  const bool ForMoreUrgent =
      LeastUrgent != nullptr && LeastUrgent->Number > Requester.Rank->Number;
  workspace_state *Longest =
      longestQueue(ForMoreUrgent ? *LeastUrgent : *Requester.Rank);
  const double NewLength =
      static_cast<double>(Requester.Waiting.size() + 1) / Requester.Weight;
  const bool IsLonger =
      Longest != nullptr &&
      static_cast<double>(Longest->Waiting.size()) / Longest->Weight >
          NewLength;
  if (!ForMoreUrgent && !IsLonger)
    return common::makeError(error_kind::QueueFull, "the queue is full");
  dropLast(*Longest, Decisions);
  return absl::OkStatus();
}

void fair_queue::dropLast(workspace_state &Longest, decisions &Decisions) {
  waiting_request &Last = Longest.Waiting.back();
  Decisions.push_back(
      {std::move(Last.OnDecision), Last.Ticket,
       common::makeError(error_kind::QueueFull,
                         "made room for a more urgent request or a workspace "
                         "with less waiting")});
  takeOut(Last, Longest);
  Longest.Waiting.pop_back();
  removeFromBacklogIfEmpty(Longest);
  ++Counters.RefusedFull;
}

fair_queue::workspace_state *fair_queue::longestQueue(const rank_state &Rank) {
  const auto Shorter = [](const auto &Left, const auto &Right) {
    const auto Length = [](const workspace_state &State) {
      return static_cast<double>(State.Waiting.size()) / State.Weight;
    };
    return Length(*Left.State) < Length(*Right.State);
  };
  const auto Longest =
      std::max_element(Rank.Backlogged.begin(), Rank.Backlogged.end(), Shorter);
  return Longest == Rank.Backlogged.end() ? nullptr : Longest->State;
}

fair_queue::rank_state *fair_queue::leastUrgent() {
  for (auto Rank = Ranks.rbegin(); Rank != Ranks.rend(); ++Rank)
    if (Rank->second.Waiting > 0)
      return &Rank->second;
  return nullptr;
}

fair_queue::rank_state *fair_queue::nextRank() {
  rank_state *Next = nullptr;
  for (auto &[Number, Rank] : Ranks) {
    if (Rank.Waiting == 0)
      continue;
    if (Rank.Credit >= 1)
      return &Rank;
    if (Next == nullptr)
      Next = &Rank;
  }
  return Next;
}

/// Ranks that wait, or were refused for their late turn, while \p Granted gets
/// a grant share their part of it.
void fair_queue::countGrant(rank_state &Granted) {
  Granted.Credit = std::max(0.0, Granted.Credit - 1);
  Granted.AskedInVain = false;
  for (auto &[Number, Rank] : Ranks)
    smoothPart(Rank.GrantedPart, &Rank == &Granted ? 1 : 0);
  const auto Waits = [&](const auto &Entry) {
    const rank_state &Rank = Entry.second;
    return (Rank.Waiting > 0 || Rank.AskedInVain) && &Rank != &Granted;
  };
  const auto Others = std::count_if(Ranks.begin(), Ranks.end(), Waits);
  for (auto &Entry : Ranks)
    if (Waits(Entry))
      Entry.second.Credit =
          std::min(Entry.second.Credit +
                       Options.LesserRankShare / static_cast<double>(Others),
                   MaxCredit);
}

void fair_queue::grantWaiting(boot_time Now, decisions &Decisions) {
  rank_state *Next = nextRank();
  if (Next == nullptr)
    return;
  const size_t Slots = Capacity();
  while (Running.size() < Slots && Next != nullptr) {
    grantNext(*Next, Now, Decisions);
    Next = nextRank();
  }
}

/// Grants the oldest request of the backlogged workspace of \p Rank with the
/// lowest start tag, after refusing those before it that are late.
void fair_queue::grantNext(rank_state &Rank, boot_time Now,
                           decisions &Decisions) {
  workspace_state &State = *Rank.Backlogged.begin()->State;
  while (!State.Waiting.empty() &&
         isLate(State, State.Waiting.front().Deadline, Now)) {
    Decisions.push_back(
        refuseForDeadline(State.Waiting.front(), State, WaitedTooLong));
    State.Waiting.pop_front();
  }
  removeFromBacklogIfEmpty(State);
  if (State.Waiting.empty())
    return;
  waiting_request Next = std::move(State.Waiting.front());
  State.Waiting.pop_front();
  countGrant(Rank);
  takeOut(Next, State);
  removeFromBacklogIfEmpty(State);
  Rank.VirtualTime = std::max(Rank.VirtualTime, State.NextStart);
  const double Charged = chargeOf(State);
  Running[Next.Ticket] = {&State, Now, Charged};
  ++State.Running;
  setNextStart(State, State.NextStart + Charged / State.Weight);
  ++Counters.Granted;
  Decisions.push_back(
      {std::move(Next.OnDecision), Next.Ticket, absl::OkStatus()});
}

void fair_queue::refuseLate(boot_time Now, decisions &Decisions) {
  std::vector<workspace_state *> States;
  for (const auto &[Number, Rank] : Ranks)
    for (const backlog_entry &Entry : Rank.Backlogged)
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
    Decisions.push_back(refuseForDeadline(Request, State, WaitedTooLong));
    return true;
  });
  removeFromBacklogIfEmpty(State);
}

/// Requests arrive while others wait, and the pace falls, so that a turn that
/// was expected in time may no longer be.
void fair_queue::refuseWithoutTurn(boot_time Now, decisions &Decisions) {
  if (Options.Order == waiting_order::Arrival || Pace.High <= 0)
    return;
  std::vector<workspace_state *> States;
  for (const auto &[Number, Rank] : Ranks)
    for (const backlog_entry &Entry : Rank.Backlogged)
      States.push_back(Entry.State);
  for (workspace_state *State : States) {
    // Those behind a refused one move up.
    for (size_t Position = 0; Position < State->Waiting.size();) {
      const boot_time Turn = Now + waitAfter(turnsBefore(*State, Position),
                                             State->Rank->Number, Pace.High);
      waiting_request &Request = State->Waiting[Position];
      if (!isLate(*State, Request.Deadline, Turn)) {
        ++Position;
        continue;
      }
      Decisions.push_back(refuseForDeadline(
          Request, *State, "its turn would come too late for the deadline"));
      State->Waiting.erase(State->Waiting.begin() +
                           static_cast<std::ptrdiff_t>(Position));
    }
    removeFromBacklogIfEmpty(*State);
  }
}

fair_queue::decision fair_queue::refuseForDeadline(waiting_request &Request,
                                                   workspace_state &State,
                                                   std::string_view Detail) {
  takeOut(Request, State);
  ++Counters.RefusedDeadline;
  return {std::move(Request.OnDecision), Request.Ticket,
          common::makeError(error_kind::QueueDeadlineExceeded, Detail)};
}

void fair_queue::setNextStart(workspace_state &State, tag Start) {
  auto &Backlogged = State.Rank->Backlogged;
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
