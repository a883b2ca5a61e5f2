#include "Gateway/FleetAgent.h"

#include <algorithm>

#include <absl/container/flat_hash_set.h>
#include <absl/random/random.h>
#include <nlohmann/json.hpp>

#include "Common/Log.h"
#include "Fleet/ReaderDecision.h"
#include "Net/Event/Address.h"

namespace magnolia::gateway {
namespace {

/// The registered instances are read again at this period, in case the hello
/// messages of two instances were lost in both directions.
constexpr std::chrono::seconds RereadPeriod{20};

uint64_t makeBootId() {
  absl::BitGen Random;
  return absl::Uniform<uint32_t>(Random, 1, UINT32_MAX);
}

} // namespace

fleet_agent::fleet_agent(event::event_loop &Loop, const settings &Settings,
                         placement::target_set &TargetSet,
                         store_table Instances, hooks Hooks)
    : Loop(Loop), Settings(Settings), TargetSet(TargetSet),
      Instances(std::move(Instances)), Hooks(std::move(Hooks)),
      Boot(makeBootId()), Started(Loop.now()), Buckets(Settings.Rates),
      Budgets(Settings.Budget, Started, Boot), Limits(Settings.Limits, Boot),
      Quarantine(Settings.Quarantine), RelayRound(Boot),
      UrgentLimit(Settings.Urgent) {}

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
    Raw->Hooks.OnEvent(Event);
  };
  PeerHooks.OnLimit = [Raw](const fleet::limit_report &Report,
                            uint64_t Growth) {
    if (Raw->Limits.statePeer(Report, Growth, Raw->Loop.now()))
      Raw->Hooks.OnLimit(Report);
  };
  PeerHooks.OnUpdate = [Raw](const fleet::peer &Peer,
                             const fleet::update_message &Update) {
    Raw->TargetSet.setPeerInFlight(Peer.Boot, Update.InFlight, Raw->Loop.now());
    Raw->Hooks.OnUpdate(Peer, Update);
  };
  PeerHooks.OnSuspect = [Raw](const fleet::suspect_report &Report) {
    Raw->Quarantine.apply(Report, Raw->Loop.now());
  };
  Agent->Peers = std::make_unique<fleet::peer_view>(
      Settings.Identity.Name, Agent->Boot, Agent->Started, Settings.Peers,
      std::move(PeerHooks));
  return Agent;
}

std::vector<fleet::fleet_member> fleet_agent::registeredMembers() const {
  using fleet::instance_state;
  using fleet::member_state;
  if (!InstancesRead)
    return {};
  const bool Ready = Hooks.State() == instance_state::Ready;
  std::vector<fleet::fleet_member> Members = {
      {Settings.Identity.Name, Settings.Identity.FailureDomain,
       Ready ? member_state::Active : member_state::Inactive}};
  const boot_time Now = Loop.now();
  for (const auto &[Name, Peer] : Peers->peers()) {
    member_state State = member_state::Silent;
    // One that was draining before it fell silent has probably ended.
    if (Peer.State == instance_state::Draining)
      State = member_state::Inactive;
    else if (Peers->isReachable(Peer, Now))
      State = Peer.State == instance_state::Ready ? member_state::Active
                                                  : member_state::Inactive;
    Members.push_back({Name, Peer.Identity.FailureDomain, State});
  }
  return Members;
}

void fleet_agent::start() {
  registerInstance();
  Loop.callEvery(Settings.Updates.Period, [this] { sendPeriodicUpdates(); });
  Loop.callEvery(RereadPeriod, [this] {
    // Others learn from the updates of instances that they do not know.
    if (isPreferredReader() || !InstancesRead)
      readInstances();
  });
}

placement::fleet_members fleet_agent::servingMembers() const {
  const boot_time Now = Loop.now();
  placement::fleet_members Members;
  Members.OwnName = Settings.Identity.Name;
  Members.InDomain.push_back(Members.OwnName);
  for (const auto &[Name, Peer] : Peers->peers()) {
    if (!Peers->isReachable(Peer, Now) ||
        Peer.State != fleet::instance_state::Ready)
      continue;
    ++Members.Total;
    if (Peer.Identity.FailureDomain == Settings.Identity.FailureDomain)
      Members.InDomain.push_back(Name);
  }
  std::sort(Members.InDomain.begin(), Members.InDomain.end());
  return Members;
}

void fleet_agent::sendHello(const sockaddr_in &To, bool WantsReply) {
  fleet::hello_message Hello;
  Hello.Boot = Boot;
  Hello.Identity = Settings.Identity;
  Hello.State = Hooks.State();
  Hello.WantsReply = WantsReply;
  Hello.Uptime = std::chrono::duration_cast<std::chrono::milliseconds>(
      Loop.now() - Started);
  ++Traffic.Introductions;
  Socket->send(To, fleet::encode(Hello));
}

void fleet_agent::onReceive(const sockaddr_in &From, std::string_view Bytes) {
  ++Traffic.Received;
  Traffic.ReceivedBytes += Bytes.size();
  const auto Message = fleet::decode(Bytes);
  if (!Message.ok()) {
    common::log(common::log_level::Warning, "Fleet", "invalid peer message",
                {{"from", event::formatAddress(From)},
                 {"detail", std::string(Message.status().message())}});
    return;
  }
  if (const auto *Bundle = std::get_if<fleet::bundle_message>(&*Message))
    onBundle(*Bundle);
  else
    apply(From, *Message);
}

void fleet_agent::apply(const sockaddr_in &From,
                        const fleet::message &Message) {
  const boot_time Now = Loop.now();
  if (const auto *Hello = std::get_if<fleet::hello_message>(&Message)) {
    Peers->apply(*Hello, Now);
    if (Hello->WantsReply)
      sendHello(From, false);
    return;
  }
  if (const auto *Rows = std::get_if<fleet::rows_message>(&Message)) {
    Hooks.OnRows(*Rows);
    return;
  }
  bool SenderKnown = true;
  if (const auto *Update = std::get_if<fleet::update_message>(&Message))
    SenderKnown = Peers->apply(*Update, Now);
  else if (const auto *Events = std::get_if<fleet::events_message>(&Message))
    SenderKnown = Peers->apply(*Events);
  if (!SenderKnown)
    sendHello(From, true);
}

void fleet_agent::onBundle(const fleet::bundle_message &Bundle) {
  if (Bundle.Route == fleet::bundle_route::Collect) {
    // It is from the own failure domain, where it was also sent directly.
    collect(Bundle.Messages);
    return;
  }
  if (Bundle.Route == fleet::bundle_route::ForwardInDomain)
    sendInDomain(fleet::encode(
        fleet::bundle_message{fleet::bundle_route::Deliver, Bundle.Messages}));
  deliver(Bundle);
}

void fleet_agent::deliver(const fleet::bundle_message &Bundle) {
  for (const fleet::bundled_message &Each : Bundle.Messages) {
    const auto Origin = event::parseAddress(Each.Origin);
    const auto Message = fleet::decode(Each.Bytes);
    const bool IsBundle =
        Message.ok() && std::holds_alternative<fleet::bundle_message>(*Message);
    if (!Origin.ok() || !Message.ok() || IsBundle) {
      common::log(common::log_level::Warning, "Fleet",
                  "invalid message in a bundle", {{"origin", Each.Origin}});
      continue;
    }
    apply(*Origin, *Message);
  }
}

} // namespace magnolia::gateway
