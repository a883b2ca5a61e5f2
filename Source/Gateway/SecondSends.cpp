#include "Gateway/SecondSends.h"

#include <algorithm>

#include "Common/Log.h"
#include "Common/StringView.h"

namespace magnolia::gateway {
namespace {

using request::second_send_reason;

/// Bounds of the quantile of the latencies after which a send is late. Between
/// them it follows the limit, so that about as many sends are late as may be
/// repeated, and those that wait longest come first.
constexpr double MinQuantile = 0.8;
constexpr double MaxQuantile = 0.99;
constexpr double Median = 0.5;
/// No send is late earlier than this.
constexpr std::chrono::milliseconds MinDelay{10};
/// Latencies of a route without requests for this long say nothing of the
/// present.
constexpr std::chrono::minutes MaxHistoryAge{5};
constexpr double PerMille = 1000;

std::chrono::microseconds micros(duration Duration) {
  return std::chrono::duration_cast<std::chrono::microseconds>(Duration);
}

int64_t millis(std::chrono::microseconds Duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(Duration)
      .count();
}

double rounded(double Value) {
  return static_cast<double>(static_cast<int64_t>(Value * PerMille)) / PerMille;
}

double freeFraction(const placement::service_room &Room) {
  return Room.Slots == 0 ? 1 : static_cast<double>(Room.FreeSlots) / Room.Slots;
}

} // namespace

const second_sends::history *second_sends::find(const latency_key &Key) const {
  const auto Service = Histories.find(common::toAbsl(Key.Service));
  if (Service == Histories.end())
    return nullptr;
  const auto Route = Service->second.find(common::toAbsl(Key.Route));
  return Route == Service->second.end() ? nullptr : &Route->second;
}

std::optional<duration> second_sends::delayFor(const latency_key &Key) const {
  const auto &Limit = Fleet.budgets().secondSendLimit();
  const history *History = find(Key);
  if (!Limit || Limit->Share <= 0 || History == nullptr)
    return std::nullopt;
  const auto Late = History->Latencies.quantile(
      std::clamp(1 - Limit->Share, MinQuantile, MaxQuantile));
  if (!Late)
    return std::nullopt;
  return std::max<duration>(*Late, MinDelay);
}

void second_sends::onTimedSend(const latency_key &Key) {
  Fleet.budgets().countTimedSend(fleet::usageKey(Key.Service), Loop.now());
}

request::second_send_state second_sends::stateOf(const late_request &Request) {
  request::second_send_state State;
  State.Repeatable = Request.Repeatable;
  State.HasOtherTarget = Request.HasOtherTarget;
  State.Waited = micros(Request.Waited);
  State.TimeLeft = micros(Request.TimeLeft);
  // It is late by the delay that was in force when it was sent.
  if (delayFor(Request.Key))
    State.Delay = State.Waited;
  if (const history *History = find(Request.Key)) {
    State.UsualLatency = History->Latencies.quantile(Median).value_or(
        std::chrono::microseconds(0));
    State.MedianRise = History->Latencies.medianRise();
  }
  State.LateFraction =
      Fleet.budgets()
          .statsOf(fleet::usageKey(Request.Key.Service), Loop.now())
          .LateFraction;
  State.FreeFraction =
      freeFraction(TargetSet.roomOf(Request.Key.Service, Loop.now()));
  return State;
}

second_sends::decision second_sends::decide(const late_request &Request) {
  decision Decision;
  Decision.State = stateOf(Request);
  Decision.Reason = request::decideSecondSend({}, Decision.State);
  if (Decision.Reason != second_send_reason::Start)
    return Decision;
  Decision.Budget = Fleet.budgets().trySecondSend(
      fleet::usageKey(Request.Key.Service), Fleet.reachablePart(), Loop.now());
  if (!Decision.Budget.Limit.Granted)
    Decision.Reason = second_send_reason::LimitReached;
  else if (!Decision.Budget.LeavesRetries)
    Decision.Reason = second_send_reason::ReservedForRetries;
  return Decision;
}

bool second_sends::tryStart(const late_request &Request) {
  const decision Decision = decide(Request);
  Fleet.budgets().countLateSend(fleet::usageKey(Request.Key.Service),
                                Loop.now());
  ++Decisions.at(static_cast<size_t>(Decision.Reason));
  // The routes say for which requests this is so.
  if (Decision.Reason != second_send_reason::NotRepeatable)
    log(Request, Decision);
  return Decision.Reason == second_send_reason::Start;
}

void second_sends::log(const late_request &Request, const decision &Decision) {
  const request::second_send_state &State = Decision.State;
  const fleet::second_send_budget &Budget = Decision.Budget;
  const bool Started = Decision.Reason == second_send_reason::Start;
  common::log(common::log_level::Info, "Request",
              Started ? "second send started" : "second send refused",
              {{"id", Request.Id},
               {"reason", request::nameOf(Decision.Reason)},
               {"service", Request.Key.Service},
               {"waited_ms", millis(State.Waited)},
               {"usual_ms", millis(State.UsualLatency)},
               {"left_ms", millis(State.TimeLeft)},
               {"median_rise", rounded(State.MedianRise)},
               {"late", rounded(State.LateFraction)},
               {"free", rounded(State.FreeFraction)},
               {"requests", Budget.Requests},
               {"second_sends", Budget.Limit.Used},
               {"limit", rounded(Budget.Limit.Bound)},
               {"own_part", Budget.Limit.OwnPart},
               {"extra_attempts", Budget.Shared.Used},
               {"bound", rounded(Budget.Shared.Bound)}});
}

void second_sends::addLatency(const latency_key &Key, duration Latency) {
  history &History =
      Histories[std::string(Key.Service)][std::string(Key.Route)];
  History.Latencies.add(micros(Latency));
  History.LastUsed = Loop.now();
}

void second_sends::advance() {
  const boot_time Now = Loop.now();
  for (auto &[Service, Routes] : Histories)
    absl::erase_if(Routes, [&](const auto &Entry) {
      return Now - Entry.second.LastUsed > MaxHistoryAge;
    });
}

void second_sends::addSamples(
    std::vector<common::metric_sample> &Samples) const {
  const auto Add = [&](std::string_view Name, std::string_view Help,
                       std::vector<common::metric_label> Labels,
                       uint64_t Value) {
    Samples.push_back(
        {Name, Help, std::move(Labels), static_cast<double>(Value)});
  };
  constexpr auto Start = static_cast<size_t>(second_send_reason::Start);
  Add("magnolia_second_sends_started_total",
      "Second sends within the operator's limit.", {}, Decisions.at(Start));
  Add("magnolia_second_sends_won_total",
      "Those of them that responded before the first send.", {}, Won);
  Add("magnolia_second_sends_cancelled_total",
      "Sends cancelled since another one of the request responded.", {},
      Cancelled);
  for (size_t Index = Start + 1; Index < Decisions.size(); ++Index)
    Add("magnolia_second_sends_refused_total",
        "Late requests without a second send, by reason.",
        {{"reason", std::string(request::nameOf(
                        static_cast<second_send_reason>(Index)))}},
        Decisions.at(Index));
  for (const auto &[Service, Routes] : Histories) {
    const auto Totals = Fleet.budgets().totalsOf(fleet::usageKey(Service));
    Add("magnolia_fleet_requests_total",
        "Requests of the fleet since this instance's start.",
        {{"service", Service}}, Totals.Requests);
    Add("magnolia_fleet_second_sends_total",
        "Second sends of the fleet since this instance's start.",
        {{"service", Service}}, Totals.SecondSends);
  }
}

} // namespace magnolia::gateway
