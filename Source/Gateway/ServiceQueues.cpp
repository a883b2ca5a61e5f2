#include "Gateway/ServiceQueues.h"

#include <algorithm>

#include <absl/random/distributions.h>

#include "Common/Log.h"
#include "Common/StringView.h"

namespace magnolia::gateway {
namespace {

using common::toAbsl;

constexpr std::string_view Component = "Waiting";
/// After a report there may be others at once.
constexpr std::chrono::milliseconds ReportDelay{5};

} // namespace

struct service_queues::service_state {
  service_state(std::string_view Name, const admission::turn_settings &Settings)
      : Name(Name), Turns(Settings) {}

  const std::string Name;
  size_t RankCount = 1;
  boot_time LoadFrom;
  admission::service_turns Turns;
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
    State = std::make_unique<service_state>(Service, Settings.Turns);
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
  const size_t Instances = Hooks.Instances();
  if (!Anew && Instances > 1 && Now - State.LoadFrom < Settings.LoadLifetime)
    return;
  State.LoadFrom = Now;
  const bool WasShort = State.Turns.isShort();
  State.Turns.update(Hooks.LoadOf(State.Name, State.RankCount), Instances, Now);
  if (WasShort == State.Turns.isShort())
    return;
  logShortage(State);
  State.Turns.setTurns(absl::Uniform(Random, 0.0, 1.0));
  schedule(Settings.Period);
}

void service_queues::logShortage(const service_state &State) const {
  const admission::service_turns &Turns = State.Turns;
  const admission::service_load &Load = Turns.load();
  double Demand = 0;
  for (const double OfRank : Load.Demand)
    Demand += OfRank;
  common::log(common::log_level::Info, Component,
              Turns.isShort() ? "service is short of room"
                              : "service has room again",
              {{"service", State.Name},
               {"slots", Load.Slots},
               {"free_slots", Load.FreeSlots},
               {"taken_per_second", Load.TakenPerSecond},
               {"refused_per_second", Load.RefusedPerSecond},
               {"demand_per_second", Demand},
               {"admitted_per_second", Turns.admittedPerSecond()},
               {"waiting", Turns.waiting()},
               {"instances", Turns.instances()}});
}

absl::StatusOr<admission::ticket>
service_queues::submit(std::string_view Service, size_t RankCount,
                       const admission::turn_request &Request,
                       admission::fair_queue::decision_hook OnDecision) {
  service_state &State = stateOf(Service, RankCount);
  refresh(State, false);
  const boot_time Now = Loop.now();
  auto Result = State.Turns.submit(
      Request, Now,
      [this, Rank = Request.Rank, Now, OnDecision = std::move(OnDecision)](
          admission::ticket Ticket, const absl::Status &Decision) {
        if (Decision.ok())
          countGrant(Rank, Loop.now() - Now);
        else
          ++countersOf(Rank).Refused;
        OnDecision(Ticket, Decision);
      });
  if (!Result.ok())
    ++countersOf(Request.Rank).Refused;
  if (State.Turns.waiting() > 0)
    schedule(Settings.Period);
  return Result;
}

void service_queues::countGrant(size_t Rank, duration Waited) {
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
    State->Turns.cancel(Ticket, Loop.now());
}

void service_queues::release(std::string_view Service, admission::ticket Ticket,
                             admission::slot_use Use) {
  service_state *State = find(Service);
  if (State == nullptr)
    return;
  if (State->Turns.waiting() > 0)
    refresh(*State, State->Turns.instances() == 1);
  State->Turns.release(Ticket, Use, Loop.now());
}

void service_queues::onTargetMissing(std::string_view Service) {
  if (service_state *State = find(Service)) {
    State->Turns.onTargetMissing();
    schedule(Settings.Period);
  }
}

void service_queues::onTargetFound(std::string_view Service) {
  service_state *State = find(Service);
  if (State != nullptr && State->Turns.onTargetFound())
    schedule(duration::zero());
}

void service_queues::onReport() {
  if (waiting() > 0)
    schedule(ReportDelay);
}

size_t service_queues::waiting() const {
  size_t Waiting = 0;
  for (const auto &[Name, State] : Services)
    Waiting += State->Turns.waiting();
  return Waiting;
}

std::vector<service_queues::short_service>
service_queues::shortServices() const {
  std::vector<short_service> Found;
  for (const auto &[Name, State] : Services)
    if (State->Turns.isShort())
      Found.push_back({Name, State->Turns.admittedPerSecond()});
  return Found;
}

bool service_queues::isShort(std::string_view Service) {
  const service_state *State = find(Service);
  return State != nullptr && State->Turns.isShort();
}

admission::turn_inputs service_queues::inputsOf(std::string_view Service,
                                                size_t Rank) {
  const service_state *State = find(Service);
  return State == nullptr ? admission::turn_inputs()
                          : State->Turns.inputsOf(Rank);
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
    admission::service_turns &Turns = State->Turns;
    if (Turns.isShort() || Turns.waiting() > 0)
      refresh(*State, true);
    Turns.beginPeriod();
    Turns.advance(Loop.now());
    Again |= Turns.isShort() || Turns.isBlocked() || Turns.waiting() > 0;
  }
  if (Again)
    schedule(Settings.Period);
}

} // namespace magnolia::gateway
