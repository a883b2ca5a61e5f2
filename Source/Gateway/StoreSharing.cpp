#include "Gateway/StoreSharing.h"

#include <absl/random/distributions.h>
#include <absl/strings/str_cat.h>

#include "Common/Log.h"
#include "Net/Event/Address.h"

namespace magnolia::gateway {
namespace {

using common::log_level;
using fleet::isSteady;
using fleet::reading_state;
using fleet::table_id;

constexpr std::string_view Component = "Store";
constexpr std::chrono::milliseconds ReadingUpdatePeriod{100};
constexpr std::chrono::milliseconds FetchTimeout{1000};
/// A peer in another failure domain is asked only if none in the own one had
/// the change by then: traffic between failure domains is expensive.
constexpr std::chrono::milliseconds RemoteFetchDelay{60};
constexpr std::chrono::milliseconds FetchSpread{60};
/// Larger changes do not fit a datagram; peers fetch them.
constexpr size_t MaxRelayBytes = 1200;
constexpr int Ok = 200;
constexpr int NotFound = 404;

constexpr std::array<std::string_view, static_cast<size_t>(table_id::Count)>
    Paths = {"/configuration", "/targets"};

std::string_view pathOf(table_id Id) {
  return Paths.at(static_cast<size_t>(Id));
}

size_t sizeOf(const stored_row &Row) {
  return Row.Key.size() + Row.Value.size() + sizeof(Row.Version);
}

} // namespace

store_sharing::store_sharing(event::event_loop &Loop, const settings &Settings,
                             const fleet::peer_view &Peers,
                             store_table Configuration, store_table Targets,
                             hooks Given)
    : Loop(Loop), Settings(Settings), Peers(Peers), Hooks(std::move(Given)) {
  addTable(table_id::Configuration, std::move(Configuration),
           Hooks.Configuration);
  addTable(table_id::Targets, std::move(Targets), Hooks.Targets);
}

void store_sharing::addTable(table_id Id, store_table Table,
                             fleet::table_hooks TableHooks) {
  replica &Replica = table(Id);
  Replica.Copy = std::make_unique<fleet::shared_table>(std::move(TableHooks));
  follower_hooks FollowerHooks;
  FollowerHooks.OnChanges = [this, Id](uint64_t After,
                                       const std::vector<stored_row> &Rows) {
    relay(Id, After, Rows);
  };
  FollowerHooks.OnSnapshot = [this] { Hooks.Announce(); };
  FollowerHooks.OnAvailability = [this, Id](bool Unavailable) {
    common::log(Unavailable ? log_level::Warning : log_level::Info, Component,
                Unavailable ? "store unavailable" : "store available again",
                {{"table", std::string(pathOf(Id))}});
    Hooks.Announce();
  };
  follow_settings Follow = Settings.Follow;
  // A change of the configuration must not be delayed to batch it with others.
  if (Id == table_id::Configuration)
    Follow.BatchDelay = duration::zero();
  Replica.Follower = std::make_unique<table_follower>(
      Loop, std::move(Table), Follow, *Replica.Copy, std::move(FollowerHooks));
}

void store_sharing::start() {
  for (const replica &Replica : Tables)
    Replica.Follower->enable();
  Loop.callEvery(ReadingUpdatePeriod, [this] { updateReading(); });
}

reading_state store_sharing::reading() const {
  reading_state Worst = reading_state::LongSteady;
  for (const replica &Replica : Tables) {
    const reading_state State = Replica.Follower->state();
    if (State == reading_state::Failing)
      return State;
    if (State == reading_state::NotReading ||
        (State == reading_state::Steady && isSteady(Worst)))
      Worst = State;
  }
  return Worst;
}

void store_sharing::updateReading() {
  const boot_time Now = Loop.now();
  const fleet::reader_decision Decision =
      fleet::decideReader(Peers, Settings.Identity.Name, Settings.Readers, Now);
  bool AllLoaded = true;
  for (const replica &Replica : Tables) {
    Replica.Follower->setBackup(!Decision.Preferred);
    AllLoaded = AllLoaded && Replica.Copy->hasContent();
  }
  const reading_state State = reading();
  if (State != AnnouncedState) {
    common::log(log_level::Info, Component, "store reading state changed",
                {{"reads", State == reading_state::NotReading ? 0 : 1},
                 {"troubled", State == reading_state::Failing ? 1 : 0},
                 {"covered_by_others", Decision.Covered ? 1 : 0},
                 {"peers_heard", Peers.reachableCount(Now)}});
    AnnouncedState = State;
    Hooks.Announce();
  }
  if (Decision.Covered && AllLoaded) {
    UncoveredSince.reset();
    for (const replica &Replica : Tables)
      Replica.Follower->disable();
    return;
  }
  if (!UncoveredSince)
    UncoveredSince = Now;
  if (Now - *UncoveredSince < Decision.TakeOverDelay)
    return;
  for (const replica &Replica : Tables)
    Replica.Follower->enable();
}

bool store_sharing::storeSteady() const {
  return isSteady(reading()) || Peers.othersReadSteadily(Loop.now());
}

void store_sharing::fillTableStatus(fleet::update_message &Update) const {
  Update.Reading = reading();
  Update.ConfigurationChange =
      table(table_id::Configuration).Copy->lastChange();
  Update.TargetsChange = table(table_id::Targets).Copy->lastChange();
}

void store_sharing::relay(table_id Id, uint64_t After,
                          const std::vector<stored_row> &Rows) {
  fleet::rows_message Message;
  Message.Table = Id;
  Message.After = After;
  size_t Size = 0;
  const auto Flush = [&] {
    if (Message.Rows.empty())
      return;
    Hooks.Send(Message);
    Message.After = Message.Rows.back().Version;
    Message.Rows.clear();
    Size = 0;
  };
  for (const stored_row &Row : Rows) {
    if (sizeOf(Row) > MaxRelayBytes) {
      // Peers see in the next update that they are behind, and fetch the
      // change.
      Hooks.Announce();
      return;
    }
    if (Size + sizeOf(Row) > MaxRelayBytes)
      Flush();
    Message.Rows.push_back(Row);
    Size += sizeOf(Row);
  }
  Flush();
}

void store_sharing::applyRelayed(const fleet::rows_message &Rows) {
  // A gap also shows in the sender's next update and is fetched then.
  table(Rows.Table).Copy->applyRelayed(Rows.After, Rows.Rows);
}

void store_sharing::onUpdate(const fleet::peer &Peer,
                             const fleet::update_message &Update) {
  scheduleFetch(table_id::Configuration, Peer, Update.ConfigurationChange);
  scheduleFetch(table_id::Targets, Peer, Update.TargetsChange);
}

void store_sharing::scheduleFetch(table_id Id, const fleet::peer &Peer,
                                  uint64_t Change) {
  replica &Replica = table(Id);
  const auto Behind = [&Replica, Change] {
    return Replica.Copy->knownThrough() < Change;
  };
  if (!Behind() || Replica.Fetch || Replica.FetchScheduled)
    return;
  const bool InOwnDomain =
      Peer.Identity.FailureDomain == Settings.Identity.FailureDomain;
  // Relayed changes usually arrive within milliseconds, so that the fetch is
  // not needed.
  const auto Spread = std::chrono::milliseconds(
      absl::Uniform<int64_t>(Random, 1, FetchSpread.count()));
  const duration Delay =
      InOwnDomain ? duration(Spread) : RemoteFetchDelay + Spread * 2;
  Replica.FetchScheduled = true;
  Loop.callAfter(Delay,
                 [this, Id, Behind, Address = Peer.Identity.PeerAddress] {
                   table(Id).FetchScheduled = false;
                   if (Behind() && !table(Id).Fetch)
                     fetch(Id, Address);
                 });
}

void store_sharing::fetch(table_id Id, const std::string &PeerAddress) {
  const auto Address = event::parseAddress(PeerAddress);
  if (!Address.ok())
    return;
  const auto Connection = message::client_connection::connect(
      Loop, *Address, message::reader_limits());
  if (!Connection)
    return;
  replica &Replica = table(Id);
  Replica.Fetch = Connection;
  message::client_hooks FetchHooks;
  FetchHooks.OnConnected = [Id, Raw = Connection.get()] {
    message::request Request;
    Request.Method = "GET";
    Request.Target = pathOf(Id);
    Request.Headers.add("Host", "peer");
    Raw->send(message::serialize(Request), false);
  };
  FetchHooks.OnResponse = [this, Id](const message::response &Response) {
    const auto Snapshot = fleet::decodeSnapshot(Response.Body);
    if (Response.Status == Ok && Snapshot.ok()) {
      table(Id).Copy->applySnapshot(Snapshot->Rows, Snapshot->Version);
      Hooks.Announce();
    }
    endFetch(Id);
  };
  FetchHooks.OnConnectFailed = [this, Id] { endFetch(Id); };
  FetchHooks.OnFailure = [this, Id](message::exchange_failure) {
    endFetch(Id);
  };
  Connection->setHooks(std::move(FetchHooks));
  Replica.FetchTimer =
      Loop.callAfter(FetchTimeout, [this, Id] { endFetch(Id); });
}

void store_sharing::endFetch(table_id Id) {
  replica &Replica = table(Id);
  Loop.cancel(Replica.FetchTimer);
  if (!Replica.Fetch)
    return;
  Replica.Fetch->setHooks({});
  Replica.Fetch->close();
  Loop.retire(std::move(Replica.Fetch));
  Replica.Fetch = nullptr;
}

void store_sharing::serveTable(message::server_call &Call) const {
  message::response Response;
  Response.Status = NotFound;
  for (size_t Index = 0; Index < Tables.size(); ++Index) {
    const fleet::shared_table &Copy = *Tables.at(Index).Copy;
    if (Call.Request.path() != Paths.at(Index) || !Copy.hasContent())
      continue;
    Response.Status = Ok;
    Response.Body = fleet::encodeSnapshot(Copy.rows(), Copy.knownThrough());
  }
  Call.respond(std::move(Response));
}

} // namespace magnolia::gateway
