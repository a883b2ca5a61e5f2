#include "Gateway/Gateway.h"

#include <algorithm>
#include <utility>

#include <absl/container/flat_hash_set.h>
#include <absl/strings/str_cat.h>

#include "Common/Digest.h"
#include "Common/Log.h"
#include "Gateway/Exchange.h"
#include "Gateway/RequestLog.h"

namespace magnolia::gateway {
namespace {

using common::log_level;

constexpr std::string_view Component = "Gateway";
constexpr std::chrono::milliseconds SweepPeriod{500};
/// Between two checks of responses that callers have not fetched.
constexpr std::chrono::milliseconds UnfetchedCheckPeriod{100};
constexpr size_t MaxPeerConnections = 512;
constexpr size_t MaxPeerHeadBytes = size_t{8} * 1024;
/// With fewer instances than this in a caller's failure domain, the directory
/// lists all instances.
constexpr size_t MinNearbyInstances = 2;
constexpr size_t MaxDirectoryEntries = 64;

} // namespace

gateway::gateway(event::event_loop &Loop, settings Given, environment Provided)
    : Loop(Loop), Settings(std::move(Given)), Environment(std::move(Provided)),
      TargetSet(Settings.Placement, Settings.Identity.FailureDomain),
      Regions(Settings.Regions),
      Evacuation(Loop, Settings.Evacuations, Regions, TargetSet,
                 Environment.Decoders.Evacuation),
      TargetRegistry({.ExpiryGrace = Settings.Follow.ExpiryGrace,
                      .DeadEntryLifetime = Settings.Follow.DeadEntryLifetime},
                     {[this](const placement::target_entry &Entry) {
                        logTarget(Entry);
                        TargetSet.put(Entry, this->Loop.now());
                        updateCold(*TargetSet.find(Entry.Id));
                      },
                      [this](const std::string &Id) {
                        common::log(log_level::Info, Component,
                                    "target removed", {{"id", Id}});
                        TargetSet.remove(Id);
                      }}),
      ColdTargets(Settings.Cold, Settings.Identity.Name),
      Losses(Settings.Losses), Pool(Loop, Settings.Forward),
      EndCheck(Loop, Settings.Forward.ConnectTimeout, Pool,
               [this](const placement::target &Target) {
                 return connectTo(Target);
               }),
      Memory(
          admission::memory_shares::create(Settings.Forward.MaxMessageBytes)),
      TargetBytes(admission::target_bytes::create(
          Settings.Forward.MaxRequestBytesAtTarget)),
      Queues(Loop, Settings.Queues, Random,
             {[this](std::string_view Service, size_t RankCount) {
                return loadOf(Service, RankCount);
              },
              [this] { return Fleet->reachablePart().Instances; }}) {
  if (Settings.Forward.FetchWithin)
    Unfetched = admission::unfetched_answers::create(
        Memory, *Settings.Forward.FetchWithin);
  Memory->OnRoom = [this] {
    if (std::exchange(RoomScheduled, true))
      return;
    this->Loop.callAfter(duration::zero(), [this] {
      RoomScheduled = false;
      Memory->resumeWaiting();
    });
  };
}

gateway::~gateway() = default;

absl::StatusOr<std::unique_ptr<gateway>>
gateway::open(event::event_loop &Loop, settings Settings,
              environment Environment) {
  std::unique_ptr<gateway> Gateway(
      new gateway(Loop, std::move(Settings), std::move(Environment)));
  const absl::Status Opened = Gateway->openPorts();
  if (!Opened.ok())
    return Opened;
  return Gateway;
}

absl::Status gateway::openPorts() {
  message::server_hooks CallerHooks;
  CallerHooks.OnCall = [this](const auto &Call) { onCall(Call); };
  CallerHooks.Limits = [this] { return callerLimits(); };
  CallerHooks.Closing = [this] { return ShuttingDown; };
  auto Server = message::http_server::open(Loop, Settings.CallerListen,
                                           std::move(CallerHooks),
                                           Settings.MaxCallerConnections);
  if (!Server.ok())
    return Server.status();
  CallerServer = std::move(*Server);
  if (Settings.Identity.CallerAddress.empty())
    Settings.Identity.CallerAddress = CallerServer->address();

  message::server_hooks PeerHooks;
  PeerHooks.OnCall = [this](const auto &Call) {
    if (!LostConfiguration->serve(*Call))
      Store->serveTable(*Call);
  };
  PeerHooks.Limits = [] {
    message::server_limits Limits;
    // Peers send no bodies.
    Limits.Reader = {MaxPeerHeadBytes, 0};
    return Limits;
  };
  Server = message::http_server::open(Loop, Settings.PeerListen,
                                      std::move(PeerHooks), MaxPeerConnections);
  if (!Server.ok())
    return Server.status();
  PeerServer = std::move(*Server);
  // Datagrams use the same port.
  Settings.PeerListen = PeerServer->address();
  if (Settings.Identity.PeerAddress.empty())
    Settings.Identity.PeerAddress = Settings.PeerListen;

  return openFleet();
}

absl::Status gateway::openFleet() {
  fleet_agent::hooks FleetHooks;
  FleetHooks.State = [this] {
    if (ShuttingDown)
      return fleet::instance_state::Draining;
    return ready() ? fleet::instance_state::Ready
                   : fleet::instance_state::Starting;
  };
  FleetHooks.FillTableStatus = [this](fleet::update_message &Update) {
    Store->fillTableStatus(Update);
    Update.LostConfiguration = Accepted.missingFromStore();
  };
  FleetHooks.OnUpdate = [this](const fleet::peer &Peer,
                               const fleet::update_message &Update) {
    Store->onUpdate(Peer, Update);
    LostConfiguration->onUpdate(Peer, Update);
    Queues.onReport();
  };
  FleetHooks.OnEvent = [this](const fleet::target_event &Event) {
    if (const auto Target = TargetSet.find(Event.Target))
      countOutcome(*Target, Event.Evidence);
  };
  FleetHooks.OnRows = [this](const fleet::rows_message &Rows) {
    Store->applyForwarded(Rows);
  };
  FleetHooks.OnLimit = [this](const fleet::limit_report &Report) {
    if (const auto Target = TargetSet.find(Report.Target))
      logTargetLimit(*Target, Report.PerSecond, limit_source::Peer);
  };
  FleetHooks.IsReading = [this] { return Store->isReading(); };
  auto Agent = fleet_agent::open(Loop, Settings, TargetSet,
                                 Environment.Instances, std::move(FleetHooks));
  if (!Agent.ok())
    return Agent.status();
  Fleet = std::move(*Agent);
  SecondSends = std::make_unique<second_sends>(Loop, TargetSet, *Fleet);
  shareStore();
  Metrics.addReader([this](std::vector<common::metric_sample> &Samples) {
    addRequestSamples(Samples);
    addTargetSamples(Samples);
    addLoadSamples(Samples);
    addFleetSamples(Samples);
    addWaitingSamples(Samples);
    SecondSends->addSamples(Samples);
  });
  return absl::OkStatus();
}

void gateway::reconfigure(const settings &Changed) {
  Settings.Shutdown = Changed.Shutdown;
  Settings.DirectoryTtl = Changed.DirectoryTtl;
  limitSecondSends(Changed.Budget.SecondSends);
}

void gateway::limitSecondSends(
    const std::optional<fleet::second_send_limit> &Limit) {
  if (Settings.Budget.SecondSends == Limit)
    return;
  Settings.Budget.SecondSends = Limit;
  Fleet->budgets().limitSecondSends(Limit);
  common::log(log_level::Info, Component, "limit on second sends changed",
              {{"limited", Limit ? 1 : 0},
               {"limit", Limit ? Limit->Share : 0},
               {"allowance", Limit ? Limit->Allowance : 0}});
}

void gateway::shareStore() {
  store_sharing::hooks Hooks;
  Hooks.Configuration = configurationHooks();
  Hooks.Targets = targetHooks();
  Hooks.Send = [this](const fleet::rows_message &Rows) { Fleet->send(Rows); };
  Hooks.Announce = [this] { Fleet->announce(); };
  Hooks.AnnounceInDomain = [this] { Fleet->announceInDomain(); };
  Hooks.OnRestored = [this] { Fleet->restoreRegistrations(); };
  Store = std::make_unique<store_sharing>(
      Loop, Settings, Fleet->peers(), Environment.Configuration,
      Environment.Targets, std::move(Hooks));
  LostConfiguration = std::make_unique<lost_configuration>(
      Loop, Settings, Fleet->peers(), Accepted,
      [this](const stored_row &Row, fleet::store_position Position) {
        offerConfiguration(Row, Position.Era, fleet::offer_source::Peer);
      });
}

void gateway::logTarget(const placement::target_entry &Entry) const {
  const placement::target_ref Known = TargetSet.find(Entry.Id);
  const bool Same = Known &&
                    Known->Entry.StartedUnixMs == Entry.StartedUnixMs &&
                    Known->Entry.Draining == Entry.Draining;
  if (Same)
    return;
  common::log(log_level::Info, Component,
              Entry.Draining ? "target draining" : "target added",
              {{"id", Entry.Id},
               {"service", Entry.Service},
               {"address", Entry.Address},
               {"born", Entry.StartedUnixMs},
               {"sequence", Entry.Sequence}});
}

void gateway::start() {
  common::log(log_level::Info, Component, "serving",
              {{"callers", Settings.Identity.CallerAddress},
               {"peers", Settings.Identity.PeerAddress},
               {"failure_domain", Settings.Identity.FailureDomain}});
  Store->start();
  Fleet->start();
  if (Unfetched)
    Loop.callEvery(UnfetchedCheckPeriod,
                   [this] { Unfetched->giveUpOverdue(Loop.now()); });
  Loop.callEvery(SweepPeriod, [this] {
    Pool.sweep();
    divideTargets();
    TargetRegistry.advance(storeAvailability(), Loop.now());
    Evacuation.advance();
    updateColdTargets();
    Fleet->limits().advance(Loop.now());
    Fleet->quarantine().advance(Loop.now());
    SecondSends->advance();
    logFailureMode();
  });
}

void gateway::logFailureMode() {
  const placement::failure_mode &Mode = TargetSet.failureMode();
  if (Mode.targetsHang() == TargetsHang)
    return;
  TargetsHang = Mode.targetsHang();
  common::log(log_level::Info, Component,
              TargetsHang ? "targets hang" : "targets respond again",
              {{"recent_hangs", Mode.recentHangs()},
               {"recent_resets", Mode.recentResets()},
               {"late_fraction", Mode.lateFraction()}});
}

fleet::table_hooks gateway::targetHooks() {
  fleet::table_hooks Hooks;
  Hooks.OnChange = [this](const stored_row &Row) { applyTarget(Row); };
  Hooks.HashOf = [this](const stored_row &Row) {
    const auto Entry = Environment.Decoders.Target(Row.Key, Row.Value);
    return Entry.ok() ? placement::identityHash(*Entry)
                      : common::stableHash(Row.Value);
  };
  Hooks.OnRestored = [this] { TargetRegistry.beginRestored(Loop.now()); };
  Hooks.OnSnapshot = [this](const std::vector<stored_row> &Rows) {
    std::vector<std::string> Ids;
    for (const stored_row &Row : Rows) {
      Ids.push_back(Row.Key);
      applyTarget(Row);
    }
    TargetRegistry.keepOnly(Ids, storeAvailability(), Loop.now());
    const absl::flat_hash_set<std::string> Listed(Ids.begin(), Ids.end());
    absl::erase_if(InvalidEntries, [&](const auto &Invalid) {
      return !Listed.contains(Invalid.first);
    });
    TargetsRead = true;
  };
  return Hooks;
}

placement::store_availability gateway::storeAvailability() const {
  return Store->storeSteady() ? placement::store_availability::Uninterrupted
                              : placement::store_availability::Interrupted;
}

void gateway::applyTarget(const stored_row &Row) {
  if (Row.Removed) {
    InvalidEntries.erase(Row.Key);
    TargetRegistry.remove(Row.Key, storeAvailability(), Loop.now());
    return;
  }
  const auto Entry = Environment.Decoders.Target(Row.Key, Row.Value);
  if (Entry.ok()) {
    InvalidEntries.erase(Row.Key);
    TargetRegistry.put(*Entry);
    return;
  }
  onInvalidEntry(Row, Entry.status());
  TargetRegistry.remove(Row.Key, placement::store_availability::Uninterrupted,
                        Loop.now());
}

void gateway::onInvalidEntry(const stored_row &Row, const absl::Status &Error) {
  const uint64_t Hash = common::stableHash(Row.Value);
  const auto [Known, IsNew] = InvalidEntries.try_emplace(Row.Key, Hash);
  if (!IsNew && Known->second == Hash)
    return;
  Known->second = Hash;
  common::log(log_level::Warning, Component, "invalid target entry",
              {{"id", Row.Key},
               {"detail", std::string(Error.message())},
               {"bytes", Row.Value.size()}});
}

void gateway::onCall(const std::shared_ptr<message::server_call> &Call) {
  exchange::begin(*this, Call);
}

bool gateway::ready() const {
  return !ShuttingDown && Routes && TargetsRead && Evacuation.isKnown();
}

placement::domain_filter
gateway::domainsFor(const directory_query &Query) const {
  if (!Routes)
    return {};
  return Regions.domainsForCaller(Routes->homesOf(Query.Host), Query.Region,
                                  Query.FailureDomain);
}

std::vector<std::string>
gateway::directory(const directory_query &Query) const {
  std::vector<std::string> InCallerDomain;
  std::vector<std::string> Allowed;
  std::vector<std::string> All;
  const placement::domain_filter Domains = domainsFor(Query);
  const auto Add = [&](const fleet::instance_identity &Identity) {
    All.push_back(Identity.CallerAddress);
    if (Domains.allows(Identity.FailureDomain))
      Allowed.push_back(Identity.CallerAddress);
    if (Identity.FailureDomain == Query.FailureDomain)
      InCallerDomain.push_back(Identity.CallerAddress);
  };
  const boot_time Now = Loop.now();
  const fleet::peer_view &Peers = Fleet->peers();
  for (const auto &[Name, Peer] : Peers.peers())
    if (Peers.isReachable(Peer, Now) &&
        Peer.State == fleet::instance_state::Ready)
      Add(Peer.Identity);
  if (ready())
    Add(Settings.Identity);
  if (All.empty() && !ShuttingDown)
    Add(Settings.Identity);
  std::vector<std::string> &Others = Allowed.empty() ? All : Allowed;
  std::vector<std::string> &Chosen =
      InCallerDomain.size() >= MinNearbyInstances ? InCallerDomain : Others;
  if (Chosen.size() > MaxDirectoryEntries)
    Chosen.resize(MaxDirectoryEntries);
  return Chosen;
}

} // namespace magnolia::gateway
