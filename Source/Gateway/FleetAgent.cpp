#include "Gateway/FleetAgent.h"

#include <algorithm>

#include <absl/random/random.h>
#include <nlohmann/json.hpp>

#include "Common/Log.h"
#include "Fleet/RelayPlan.h"
#include "Net/Event/Address.h"

namespace magnolia::gateway {
namespace {

using fleet::audience;
using placement::evidence;

constexpr audience Audiences[] = {audience::SameDomain, audience::OtherDomains};
/// Number of messages that carry a failure event, since one may be lost.
constexpr int FailureEventRepeats = 2;
constexpr std::chrono::milliseconds RegisterRetryDelay{500};
/// The registered instances are read again at this period, in case the hello
/// messages of two instances were lost in both directions.
constexpr std::chrono::seconds RereadPeriod{20};
/// Batches failures that occur together, such as many connections lost at once.
constexpr std::chrono::milliseconds UrgentDelay{3};
constexpr std::chrono::milliseconds MaxEventAge{3000};
/// Relays for each other failure domain; urgent messages use two, since one
/// relay may have failed undetected.
constexpr size_t RelaysPerDomain = 1;
constexpr size_t RelaysWhenUrgent = 2;

uint64_t makeBootId() {
  absl::BitGen Random;
  return absl::Uniform<uint32_t>(Random, 1, UINT32_MAX);
}

bool isFailure(evidence Evidence) {
  return Evidence == evidence::Broken || Evidence == evidence::Failed;
}

} // namespace

std::string encodeIdentity(const fleet::instance_identity &Identity) {
  return nlohmann::json({{"name", Identity.Name},
                         {"failure_domain", Identity.FailureDomain},
                         {"peer_address", Identity.PeerAddress},
                         {"caller_address", Identity.CallerAddress}})
      .dump();
}

absl::StatusOr<fleet::instance_identity>
decodeIdentity(std::string_view Bytes) {
  try {
    const auto Value = nlohmann::json::parse(Bytes);
    return fleet::instance_identity{
        Value.at("name").get<std::string>(),
        Value.at("failure_domain").get<std::string>(),
        Value.at("peer_address").get<std::string>(),
        Value.at("caller_address").get<std::string>()};
  } catch (const nlohmann::json::exception &Error) {
    return absl::InvalidArgumentError(Error.what());
  }
}

fleet_agent::fleet_agent(event::event_loop &Loop, const settings &Settings,
                         placement::target_set &TargetSet,
                         store_table Instances, hooks Hooks)
    : Loop(Loop), Settings(Settings), TargetSet(TargetSet),
      Instances(std::move(Instances)), Hooks(std::move(Hooks)),
      Boot(makeBootId()), Started(Loop.now()), Buckets(Settings.Rates),
      Budgets(Settings.Budget, Started), RelayRound(Boot) {}

absl::StatusOr<std::unique_ptr<fleet_agent>>
fleet_agent::open(event::event_loop &Loop, const settings &Settings,
                  placement::target_set &TargetSet, store_table Instances,
                  hooks Hooks) {
  std::unique_ptr<fleet_agent> Agent(new fleet_agent(
      Loop, Settings, TargetSet, std::move(Instances), std::move(Hooks)));
  fleet_agent *Raw = Agent.get();
  auto Socket = event::datagram_socket::open(
      Loop, Settings.PeerListen,
      [Raw](const sockaddr_in &From, std::string_view Bytes) {
        Raw->onReceive(From, Bytes);
      });
  if (!Socket.ok())
    return Socket.status();
  Agent->Socket = std::move(*Socket);
  fleet::peer_hooks PeerHooks;
  PeerHooks.OnAppeared = [](const fleet::peer &Peer) {
    common::log(common::log_level::Info, "Fleet", "peer discovered",
                {{"peer", Peer.Identity.Name}});
  };
  PeerHooks.OnWorkspaceUse = [Raw](uint32_t Key, uint64_t Requests) {
    Raw->Buckets.chargePeers(Key, Requests, Raw->Loop.now());
  };
  PeerHooks.OnEarlierUse = [Raw](uint32_t Key, uint64_t Requests) {
    Raw->Buckets.chargeEarlier(Key, Requests, Raw->Loop.now());
  };
  PeerHooks.OnServiceUse = [Raw](const fleet::service_total &Growth) {
    Raw->Budgets.chargePeers(Growth, Raw->Loop.now());
  };
  PeerHooks.OnEvent = [Raw](const fleet::target_event &Event) {
    const boot_time Now = Raw->Loop.now();
    Raw->TargetSet.observePeer(Event.Target, Event.Evidence,
                               Now - std::chrono::milliseconds(Event.AgeMs),
                               Now);
  };
  PeerHooks.OnUpdate = [Raw](const fleet::peer &Peer,
                             const fleet::update_message &Update) {
    Raw->TargetSet.setPeerInFlight(Peer.Boot, Update.InFlight, Raw->Loop.now());
    Raw->Hooks.OnUpdate(Peer, Update);
  };
  Agent->Peers = std::make_unique<fleet::peer_view>(
      Settings.Identity.Name, Agent->Boot, Agent->Started, Settings.Peers,
      std::move(PeerHooks));
  return Agent;
}

void fleet_agent::start() {
  registerInstance();
  Loop.callEvery(Settings.Updates.Period, [this] { sendPeriodicUpdates(); });
  Loop.callEvery(RereadPeriod, [this] { readInstances(); });
}

void fleet_agent::registerInstance() {
  Instances.Write(Settings.Identity.Name, encodeIdentity(Settings.Identity),
                  [this](const store_reply &Reply) {
                    if (Reply.Result == store_result::Done) {
                      Registered = true;
                      readInstances();
                      return;
                    }
                    // This instance can discover others before it is
                    // registered.
                    if (!InstancesRead)
                      readInstances();
                    Loop.callAfter(RegisterRetryDelay,
                                   [this] { registerInstance(); });
                  });
}

void fleet_agent::readInstances() {
  Instances.Read("", [this](const store_reply &Reply) {
    if (Reply.Result != store_result::Done) {
      if (!InstancesRead)
        Loop.callAfter(RegisterRetryDelay, [this] { readInstances(); });
      return;
    }
    InstancesRead = true;
    for (const stored_row &Row : Reply.Rows) {
      const auto Identity = decodeIdentity(Row.Value);
      if (!Identity.ok() || Identity->Name == Settings.Identity.Name)
        continue;
      Peers->addRegistered(*Identity);
      const auto Address = event::parseAddress(Identity->PeerAddress);
      if (Address.ok())
        sendHello(*Address, true);
    }
  });
}

void fleet_agent::sendHello(const sockaddr_in &To, bool WantsReply) {
  fleet::hello_message Hello;
  Hello.Boot = Boot;
  Hello.Identity = Settings.Identity;
  Hello.State = Hooks.State();
  Hello.WantsReply = WantsReply;
  Hello.Uptime = std::chrono::duration_cast<std::chrono::milliseconds>(
      Loop.now() - Started);
  Socket->send(To, fleet::encode(Hello));
}

void fleet_agent::onReceive(const sockaddr_in &From, std::string_view Bytes) {
  const auto Message = fleet::decode(Bytes);
  if (!Message.ok()) {
    common::log(common::log_level::Warning, "Fleet", "invalid peer message",
                {{"from", event::formatAddress(From)},
                 {"detail", std::string(Message.status().message())}});
    return;
  }
  const boot_time Now = Loop.now();
  if (const auto *Hello = std::get_if<fleet::hello_message>(&*Message)) {
    Peers->apply(*Hello, Now);
    if (Hello->WantsReply)
      sendHello(From, false);
    return;
  }
  if (const auto *Rows = std::get_if<fleet::rows_message>(&*Message)) {
    Hooks.OnRows(*Rows);
    return;
  }
  if (const auto *Relayed = std::get_if<fleet::relayed_message>(&*Message)) {
    onRelayed(*Relayed);
    return;
  }
  if (!Peers->apply(std::get<fleet::update_message>(*Message), Now))
    sendHello(From, true);
}

void fleet_agent::onRelayed(const fleet::relayed_message &Relayed) {
  const auto Origin = event::parseAddress(Relayed.Origin);
  if (!Origin.ok()) {
    common::log(common::log_level::Warning, "Fleet",
                "relayed message with invalid origin",
                {{"origin", Relayed.Origin}});
    return;
  }
  if (Relayed.Forward)
    sendTo(audience::SameDomain, fleet::encode(fleet::relayed_message{
                                     Relayed.Origin, false, Relayed.Bytes}));
  onReceive(*Origin, Relayed.Bytes);
}

void fleet_agent::report(const placement::target &Target, evidence Evidence,
                         boot_time SentAt) {
  const bool IsFailure = isFailure(Evidence);
  for (audience_state &State : AudienceStates)
    State.Events.push_back({Target.Key, Evidence, SentAt, IsFailure, 0});
  if (IsFailure)
    announce();
}

void fleet_agent::announce() {
  if (UpdateScheduled)
    return;
  UpdateScheduled = true;
  Loop.callAfter(UrgentDelay, [this] {
    UpdateScheduled = false;
    for (const audience Audience : Audiences)
      sendUpdate(Audience, false);
  });
}

void fleet_agent::send(const fleet::rows_message &Rows) {
  fleet::rows_message Own = Rows;
  Own.Boot = Boot;
  const std::string Bytes = fleet::encode(Own);
  for (const audience Audience : Audiences)
    sendTo(Audience, Bytes);
}

fleet::update_message fleet_agent::makeUpdate(audience Audience, bool Full) {
  const boot_time Now = Loop.now();
  audience_state &State = AudienceStates.at(static_cast<size_t>(Audience));
  fleet::update_message Update;
  Update.Boot = Boot;
  Update.State = Hooks.State();
  Hooks.FillTableStatus(Update);
  Update.Workspaces = Buckets.collectTotals(Audience, Full);
  Update.Services = Budgets.collectTotals(Audience, Full);
  Update.InFlight = TargetSet.ownInFlight();
  Update.FirstEvent = State.FirstEvent;
  for (pending_event &Event : State.Events) {
    const auto Age = std::chrono::duration_cast<std::chrono::milliseconds>(
        std::max<duration>(Now - Event.SentAt, duration::zero()));
    Update.Events.push_back(
        {Event.Target, Event.Evidence, static_cast<uint32_t>(Age.count())});
    ++Event.SentCount;
  }
  // Events are numbered consecutively from FirstEvent on, so only the oldest
  // can be removed: each as soon as it and all earlier ones are done.
  const auto IsDone = [Now](const pending_event &Event) {
    return Event.SentCount >= (Event.IsFailure ? FailureEventRepeats : 1) ||
           Now - Event.SentAt > MaxEventAge;
  };
  while (!State.Events.empty() && IsDone(State.Events.front())) {
    State.Events.pop_front();
    ++State.FirstEvent;
  }
  return Update;
}

void fleet_agent::sendPeriodicUpdates() {
  for (const audience Audience : Audiences)
    sendUpdate(Audience, true);
}

void fleet_agent::sendUpdate(audience Audience, bool Periodic) {
  const boot_time Now = Loop.now();
  audience_state &State = AudienceStates.at(static_cast<size_t>(Audience));
  const bool Full = Now - State.LastFull >= Settings.Updates.FullUpdatePeriod;
  const size_t InFlight = TargetSet.ownInFlight().size();
  const bool IsDue = !State.Events.empty() || InFlight > 0 ||
                     State.LastInFlight > 0 ||
                     Now - State.LastSent >= Settings.Updates.Heartbeat;
  if (Periodic && !IsDue)
    return;
  State.LastInFlight = InFlight;
  State.LastSent = Now;
  if (Full)
    State.LastFull = Now;
  const std::string Bytes = fleet::encode(makeUpdate(Audience, Full));
  if (Audience == audience::SameDomain)
    sendTo(Audience, Bytes);
  else
    sendToOtherDomains(Bytes, !Periodic);
}

void fleet_agent::sendToOtherDomains(std::string_view Bytes, bool Urgent) {
  const fleet::relay_plan Plan = fleet::planRelays(
      *Peers, Settings.Identity.FailureDomain,
      Urgent ? RelaysWhenUrgent : RelaysPerDomain, RelayRound++, Loop.now());
  for (const fleet::peer *Peer : Plan.Direct)
    sendTo(*Peer, Bytes);
  if (Plan.Relays.empty())
    return;
  const std::string Relayed = fleet::encode(fleet::relayed_message{
      Settings.Identity.PeerAddress, true, std::string(Bytes)});
  for (const fleet::peer *Peer : Plan.Relays)
    sendTo(*Peer, Relayed);
}

void fleet_agent::sendTo(audience Audience, std::string_view Bytes) {
  for (const auto &[Name, Peer] : Peers->peers()) {
    const bool InOwnDomain =
        Peer.Identity.FailureDomain == Settings.Identity.FailureDomain;
    if (InOwnDomain != (Audience == audience::SameDomain))
      continue;
    sendTo(Peer, Bytes);
  }
}

void fleet_agent::sendTo(const fleet::peer &Peer, std::string_view Bytes) {
  const auto Address = event::parseAddress(Peer.Identity.PeerAddress);
  if (Address.ok())
    Socket->send(*Address, Bytes);
}

} // namespace magnolia::gateway
