#include "Gateway/ServiceQueues.h"

#include <algorithm>
#include <limits>

#include <absl/random/distributions.h>

#include "Common/Log.h"
#include "Common/StringView.h"

namespace magnolia::gateway {
namespace {

using common::toAbsl;

constexpr std::string_view Component = "Waiting";
/// Turns that may be left over for later requests.
constexpr double MaxTokens = 4;
/// After a report there may be others at once.
constexpr std::chrono::milliseconds ReportDelay{5};
constexpr size_t Unlimited = std::numeric_limits<size_t>::max();

} // namespace

struct service_queues::service_state {
  service_state(const service_queues &Queues, std::string_view Name,
                size_t RankCount)
      : Name(Name), RankCount(RankCount), Threshold(Queues.Settings.Threshold),
        Queue(Queues.Settings.Queue,
              [this, &Queues] { return Queues.capacityOf(*this); }) {}

  const std::string Name;
  size_t RankCount;
  admission::rank_threshold Threshold;
  admission::service_load Load;
  boot_time LoadFrom;
  size_t Instances = 1;
  /// Turns that this instance may grant while the service is short.
  double Tokens = 0;
  /// Requests with a turn.
  size_t Running = 0;
  /// The last request with a turn found no target.
  bool Blocked = false;
  /// One request may find out whether there is a target again.
  bool ProbeDue = false;
  admission::fair_queue Queue;
};

service_queues::service_queues(event::event_loop &Loop,
                               const queue_settings &Settings,
                               absl::BitGenRef Random, hooks Hooks)
    : Loop(Loop), Settings(Settings), Random(Random), Hooks(std::move(Hooks)) {}

service_queues::~service_queues() = default;

service_queues::service_state &service_queues::stateOf(std::string_view Service,
                                                       size_t RankCount) {
  auto &State = Services[toAbsl(Service)];
  if (!State)
    State = std::make_unique<service_state>(*this, Service, RankCount);
  State->RankCount = RankCount;
  return *State;
}

service_queues::service_state *service_queues::find(std::string_view Service) {
  const auto Found = Services.find(toAbsl(Service));
  return Found == Services.end() ? nullptr : Found->second.get();
}

/// Renews the load if it is old or is to be known \p Anew.
void service_queues::refresh(service_state &State, bool Anew) {
  const boot_time Now = Loop.now();
  State.Instances = Hooks.Instances();
  if (!Anew && State.Instances > 1 &&
      Now - State.LoadFrom < Settings.LoadLifetime)
    return;
  State.LoadFrom = Now;
  State.Load = Hooks.LoadOf(State.Name, State.RankCount);
  State.Load.SlotTime = State.Queue.slotTime();
  // Some of those with a turn may not have been sent yet.
  if (State.Instances == 1)
    State.Load.FreeSlots = std::min<uint32_t>(
        State.Load.FreeSlots,
        State.Load.Slots -
            std::min<uint32_t>(State.Load.Slots,
                               static_cast<uint32_t>(State.Running)));
  const bool WasShort = State.Threshold.isShort();
  State.Threshold.update(State.Load, Now);
  State.Queue.setPace(paceOf(State));
  if (WasShort == State.Threshold.isShort())
    return;
  logShortage(State);
  // The instances must not all refuse, or all grant, their first requests.
  State.Tokens = absl::Uniform(Random, 0.0, 1.0);
  schedule(Settings.Period);
}

void service_queues::logShortage(const service_state &State) const {
  const bool IsShort = State.Threshold.isShort();
  double Demand = 0;
  for (const double OfRank : State.Load.Demand)
    Demand += OfRank;
  common::log(common::log_level::Info, Component,
              IsShort ? "service is short of room" : "service has room again",
              {{"service", State.Name},
               {"slots", State.Load.Slots},
               {"free_slots", State.Load.FreeSlots},
               {"taken_per_second", State.Load.TakenPerSecond},
               {"refused_per_second", State.Load.RefusedPerSecond},
               {"demand_per_second", Demand},
               {"admitted_per_second", State.Threshold.admittedPerSecond()},
               {"waiting", State.Queue.counters().Waiting},
               {"instances", State.Instances}});
}

size_t service_queues::capacityOf(const service_state &State) const {
  if (State.Blocked)
    return State.Running + (State.ProbeDue ? 1 : 0);
  if (State.Load.Slots == 0 || !State.Threshold.isShort())
    return Unlimited;
  if (State.Instances > 1)
    return State.Running + static_cast<size_t>(std::max(State.Tokens, 0.0));
  const size_t Used =
      std::max<size_t>(State.Load.Slots - State.Load.FreeSlots, State.Running);
  return State.Running +
         (State.Load.Slots - std::min<size_t>(State.Load.Slots, Used));
}

/// Turns per second at this instance; zero while it grants all at once.
double service_queues::paceOf(const service_state &State) const {
  if (!State.Threshold.isShort())
    return 0;
  if (State.Instances > 1)
    return State.Threshold.admittedPerSecond() /
           static_cast<double>(State.Instances);
  const double SlotTime =
      std::chrono::duration<double>(State.Load.SlotTime).count();
  return SlotTime > 0 ? State.Load.Slots / SlotTime : 0;
}

absl::StatusOr<admission::ticket>
service_queues::submit(const turn_request &Request,
                       admission::fair_queue::decision_hook OnDecision) {
  service_state &State = stateOf(Request.Service, Request.RankCount);
  refresh(State, false);
  const boot_time Now = Loop.now();
  const bool IsShort = State.Threshold.isShort();
  if (IsShort)
    State.Tokens = std::min(
        State.Tokens + State.Threshold.shareOf(Request.Rank), MaxTokens);
  boot_time Deadline = boot_time::max();
  if (IsShort)
    Deadline = Request.DeadlineIfShort;
  else if (State.Blocked)
    Deadline = Request.Deadline;
  auto Result = State.Queue.submit(
      {Request.Workspace, 1, Deadline, Request.Rank}, Now,
      [this, &State, Rank = Request.Rank, Now,
       OnDecision = std::move(OnDecision)](admission::ticket Ticket,
                                           const absl::Status &Decision) {
        if (Decision.ok())
          countGrant(State, Rank, Loop.now() - Now);
        else
          ++countersOf(Rank).Refused;
        OnDecision(Ticket, Decision);
      });
  if (!Result.ok())
    ++countersOf(Request.Rank).Refused;
  if (State.Queue.counters().Waiting > 0)
    schedule(Settings.Period);
  return Result;
}

void service_queues::countGrant(service_state &State, size_t Rank,
                                duration Waited) {
  ++State.Running;
  State.ProbeDue = false;
  if (State.Threshold.isShort())
    State.Tokens -= 1;
  const auto Bound =
      std::lower_bound(WaitBounds.begin(), WaitBounds.end(), Waited);
  ++countersOf(Rank).Waited.at(static_cast<size_t>(Bound - WaitBounds.begin()));
}

rank_counters &service_queues::countersOf(size_t Rank) {
  if (Counters.size() <= Rank)
    Counters.resize(Rank + 1);
  return Counters[Rank];
}

void service_queues::cancel(std::string_view Service,
                            admission::ticket Ticket) {
  if (service_state *State = find(Service))
    State->Queue.cancel(Ticket, Loop.now());
}

void service_queues::release(std::string_view Service, admission::ticket Ticket,
                             admission::slot_use Use) {
  service_state *State = find(Service);
  if (State == nullptr)
    return;
  --State->Running;
  if (State->Queue.counters().Waiting > 0)
    refresh(*State, State->Instances == 1);
  State->Queue.release(Ticket, Use, Loop.now());
}

void service_queues::onTargetMissing(std::string_view Service) {
  if (service_state *State = find(Service)) {
    State->Blocked = true;
    State->ProbeDue = false;
    schedule(Settings.Period);
  }
}

void service_queues::onTargetFound(std::string_view Service) {
  service_state *State = find(Service);
  if (State == nullptr || !State->Blocked)
    return;
  State->Blocked = false;
  schedule(duration::zero());
}

void service_queues::onReport() {
  if (waiting() > 0)
    schedule(ReportDelay);
}

size_t service_queues::waiting() const {
  size_t Waiting = 0;
  for (const auto &[Name, State] : Services)
    Waiting += State->Queue.counters().Waiting;
  return Waiting;
}

std::vector<service_queues::short_service>
service_queues::shortServices() const {
  std::vector<short_service> Found;
  for (const auto &[Name, State] : Services)
    if (State->Threshold.isShort())
      Found.push_back({Name, State->Threshold.admittedPerSecond()});
  return Found;
}

turn_inputs service_queues::inputsOf(std::string_view Service, size_t Rank) {
  const service_state *State = find(Service);
  if (State == nullptr)
    return {};
  return {Rank,
          State->Threshold.isShort(),
          State->Load,
          State->Threshold.admittedPerSecond(),
          State->Threshold.shareOf(Rank),
          State->Queue.waitingAhead(Rank),
          State->Queue.expectedWait(Rank)};
}

void service_queues::schedule(duration Delay) {
  if (std::exchange(Scheduled, true))
    return;
  Loop.callAfter(Delay, [this] {
    Scheduled = false;
    advanceAll();
  });
}

void service_queues::advanceAll() {
  bool Again = false;
  // Requests that get a turn may add services.
  std::vector<service_state *> States;
  States.reserve(Services.size());
  for (const auto &[Name, State] : Services)
    States.push_back(State.get());
  for (service_state *State : States) {
    if (State->Threshold.isShort() || State->Queue.counters().Waiting > 0)
      refresh(*State, true);
    State->Blocked &= State->Queue.counters().Waiting > 0;
    State->ProbeDue = State->Blocked;
    State->Queue.advance(Loop.now());
    Again |= State->Threshold.isShort() || State->Blocked ||
             State->Queue.counters().Waiting > 0;
  }
  if (Again)
    schedule(Settings.Period);
}

} // namespace magnolia::gateway
