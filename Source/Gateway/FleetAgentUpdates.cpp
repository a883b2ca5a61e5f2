#include <algorithm>
#include <utility>

#include "Fleet/RelayPlan.h"
#include "Gateway/FleetAgent.h"
#include "Net/Event/Address.h"

// What an instance sends: updates, urgent evidence and changed rows, and what
// it collects of its neighbors for other failure domains.

namespace magnolia::gateway {
namespace {

using fleet::audience;
using placement::evidence;

constexpr audience Audiences[] = {audience::SameDomain, audience::OtherDomains};
/// Number of messages that carry an urgent event, since one may be lost.
constexpr int UrgentEventRepeats = 2;
/// Batches failures that occur together, such as many connections lost at once.
constexpr std::chrono::milliseconds UrgentDelay{3};
constexpr std::chrono::milliseconds MaxEventAge{3000};
/// Relays for each other failure domain. What is lost with a relay that failed
/// undetected is repeated through the next one.
constexpr size_t RelaysPerDomain = 1;
/// How long a collector waits for more messages.
constexpr std::chrono::milliseconds CollectDelay{40};
constexpr std::chrono::milliseconds MaxCollectedAge{500};
/// Larger bundles may not fit into one packet.
constexpr size_t MaxBundleBytes = 1200;
/// Encoded size of a bundled message beyond its bytes and its origin.
constexpr size_t BundledOverhead = 4;

/// Whether peers must know of it at once, even if a message is lost.
bool isUrgent(evidence Evidence) {
  return Evidence == evidence::Broken || Evidence == evidence::Failed ||
         Evidence == evidence::Stalled || Evidence == evidence::Draining;
}

} // namespace

void fleet_agent::report(const placement::target &Target, evidence Evidence,
                         boot_time SentAt, bool IsNews) {
  const bool IsUrgent = isUrgent(Evidence);
  for (audience_state &State : AudienceStates)
    State.Events.push_back({Target.Key, Evidence, SentAt, IsUrgent, 0});
  if (IsUrgent && IsNews)
    sendUrgentEvents();
}

void fleet_agent::announce() {
  for (const audience Audience : Audiences)
    scheduleUpdate(Audience);
}

void fleet_agent::announceInDomain() { scheduleUpdate(audience::SameDomain); }

void fleet_agent::scheduleUpdate(audience Audience) {
  bool &Scheduled = UpdateScheduled.at(static_cast<size_t>(Audience));
  if (Scheduled)
    return;
  Scheduled = true;
  Loop.callAfter(UrgentDelay, [this, Audience, &Scheduled] {
    Scheduled = false;
    sendUpdate(Audience, true);
  });
}

void fleet_agent::sendUrgentEvents() {
  if (EventsScheduled)
    return;
  if (!UrgentLimit.tryAcquire(Peers->size() + 1, Loop.now())) {
    ++Traffic.UrgentDelayed;
    return;
  }
  EventsScheduled = true;
  Loop.callAfter(UrgentDelay, [this] {
    EventsScheduled = false;
    for (const audience Audience : Audiences) {
      const uint64_t First = stateOf(Audience).FirstEvent;
      const std::string Bytes = fleet::encode(
          fleet::events_message{Boot, First, takeEvents(Audience)});
      if (Audience == audience::SameDomain)
        sendInDomain(Bytes);
      else
        sendToOtherDomains({ownMessage(Bytes)});
    }
  });
}

void fleet_agent::send(const fleet::rows_message &Rows) {
  ++Traffic.RowsMessages;
  const std::string Bytes = fleet::encode(Rows);
  sendInDomain(Bytes);
  sendToOtherDomains({ownMessage(Bytes)});
}

std::vector<fleet::target_event> fleet_agent::takeEvents(audience Audience) {
  const boot_time Now = Loop.now();
  audience_state &State = stateOf(Audience);
  std::vector<fleet::target_event> Events;
  for (pending_event &Event : State.Events) {
    const auto Age = std::chrono::duration_cast<std::chrono::milliseconds>(
        std::max<duration>(Now - Event.SentAt, duration::zero()));
    Events.push_back(
        {Event.Target, Event.Evidence, static_cast<uint32_t>(Age.count())});
    ++Event.SentCount;
  }
  // Events are numbered consecutively from FirstEvent on, so only the oldest
  // can be removed: each as soon as it and all earlier ones are done.
  const auto IsDone = [Now](const pending_event &Event) {
    return Event.SentCount >= (Event.IsUrgent ? UrgentEventRepeats : 1) ||
           Now - Event.SentAt > MaxEventAge;
  };
  while (!State.Events.empty() && IsDone(State.Events.front())) {
    State.Events.pop_front();
    ++State.FirstEvent;
  }
  return Events;
}

fleet::update_message fleet_agent::makeUpdate(audience Audience, bool Full) {
  fleet::update_message Update;
  Update.Boot = Boot;
  Update.Number = ++LastUpdate;
  Update.State = Hooks.State();
  Hooks.FillTableStatus(Update);
  // Other failure domains follow the readers; the others' tables tell them only
  // where a change can be fetched.
  if (Audience == audience::OtherDomains && !Full && !Hooks.IsReading())
    Update.Tables = {};
  Update.Workspaces = Buckets.collectTotals(Audience, Full);
  Update.Services = Budgets.collectTotals(Audience, Full);
  Update.InFlight = TargetSet.ownInFlight();
  Update.FirstEvent = stateOf(Audience).FirstEvent;
  Update.Events = takeEvents(Audience);
  Update.Limits = Limits.collectReports(Audience, Full, Loop.now());
  Update.Suspects = Quarantine.collectReports(Audience, Full, Loop.now());
  return Update;
}

void fleet_agent::sendPeriodicUpdates() {
  for (const audience Audience : Audiences)
    if (isUpdateDue(Audience))
      sendUpdate(Audience, false);
}

bool fleet_agent::isUpdateDue(audience Audience) const {
  const audience_state &State =
      AudienceStates.at(static_cast<size_t>(Audience));
  const duration SinceLast = Loop.now() - State.LastSent;
  // Timers run a little late; a period of updates is due after half of it.
  const duration Late = Settings.Updates.Period / 2;
  if (Audience == audience::OtherDomains && !Hooks.IsReading() &&
      SinceLast + Late < Settings.Updates.OtherDomainsPeriod)
    return false;
  return !State.Events.empty() || State.LastInFlight > 0 ||
         !TargetSet.ownInFlight().empty() ||
         SinceLast >= Settings.Updates.Heartbeat;
}

void fleet_agent::sendUpdate(audience Audience, bool Urgent) {
  const boot_time Now = Loop.now();
  audience_state &State = stateOf(Audience);
  const bool Full = Now - State.LastFull >= Settings.Updates.FullUpdatePeriod;
  State.LastSent = Now;
  if (Full)
    State.LastFull = Now;
  const fleet::update_message Update = makeUpdate(Audience, Full);
  State.LastInFlight = Update.InFlight.size();
  std::string Bytes = fleet::encode(Update);
  if (Audience == audience::SameDomain) {
    sendInDomain(Bytes);
    return;
  }
  ++Traffic.Updates;
  if (Urgent)
    sendToOtherDomains({ownMessage(std::move(Bytes))});
  else
    handToCollector(std::move(Bytes));
}

void fleet_agent::handToCollector(std::string Bytes) {
  std::vector<fleet::bundled_message> Messages = {ownMessage(std::move(Bytes))};
  const fleet::peer *Collector =
      fleet::chooseCollector(*Peers, Settings.Identity, Settings.Collectors,
                             CollectorRound++, Loop.now());
  if (Collector == nullptr)
    collect(std::move(Messages));
  else
    sendTo(*Collector, fleet::encode(fleet::bundle_message{
                           fleet::bundle_route::Collect, std::move(Messages)}));
}

void fleet_agent::collect(std::vector<fleet::bundled_message> Messages) {
  for (fleet::bundled_message &Each : Messages) {
    const size_t Size =
        Each.Bytes.size() + Each.Origin.size() + BundledOverhead;
    if (CollectedBytes + Size > MaxBundleBytes)
      sendCollected();
    if (Collected.empty()) {
      CollectedSince = Loop.now();
      Loop.callAfter(CollectDelay, [this] { sendCollected(); });
    }
    Collected.push_back(std::move(Each));
    CollectedBytes += Size;
  }
}

void fleet_agent::sendCollected() {
  std::vector<fleet::bundled_message> Messages = std::exchange(Collected, {});
  CollectedBytes = 0;
  // After a pause of this process they would pass for new; later updates make
  // up for them.
  if (Messages.empty() || Loop.now() - CollectedSince > MaxCollectedAge)
    return;
  sendToOtherDomains(std::move(Messages));
}

void fleet_agent::sendToOtherDomains(
    std::vector<fleet::bundled_message> Messages) {
  const fleet::relay_plan Plan =
      fleet::planRelays(*Peers, Settings.Identity.FailureDomain,
                        RelaysPerDomain, RelayRound++, Loop.now());
  fleet::bundle_message Bundle{fleet::bundle_route::Deliver,
                               std::move(Messages)};
  if (!Plan.Direct.empty()) {
    const std::string Bytes = fleet::encode(Bundle);
    for (const fleet::peer *Peer : Plan.Direct)
      sendTo(*Peer, Bytes);
  }
  if (Plan.Relays.empty())
    return;
  Bundle.Route = fleet::bundle_route::ForwardInDomain;
  const std::string Bytes = fleet::encode(Bundle);
  for (const fleet::peer *Peer : Plan.Relays)
    sendTo(*Peer, Bytes);
}

void fleet_agent::sendInDomain(std::string_view Bytes) {
  for (const auto &[Name, Peer] : Peers->peers())
    if (Peer.Identity.FailureDomain == Settings.Identity.FailureDomain)
      sendTo(Peer, Bytes);
}

void fleet_agent::sendTo(const fleet::peer &Peer, std::string_view Bytes) {
  const auto Address = event::parseAddress(Peer.Identity.PeerAddress);
  if (!Address.ok())
    return;
  const bool InOwnDomain =
      Peer.Identity.FailureDomain == Settings.Identity.FailureDomain;
  peer_traffic::sent &Sent = Traffic.Sent.at(static_cast<size_t>(
      InOwnDomain ? audience::SameDomain : audience::OtherDomains));
  ++Sent.Messages;
  Sent.Bytes += Bytes.size();
  Socket->send(*Address, Bytes);
}

} // namespace magnolia::gateway
