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

constexpr std::string_view Room = "Store";
constexpr std::chrono::milliseconds JudgePeriod{100};
constexpr std::chrono::milliseconds FetchTimeout{1000};
/// A peer in another failure domain is asked only if none nearby had the
/// change by then: bytes between them are dear.
constexpr std::chrono::milliseconds FarFetchDelay{60};
constexpr std::chrono::milliseconds FetchSpread{60};
/// Larger changes do not fit a datagram; peers fetch them.
constexpr size_t LargestRelay = 1200;
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
  shared &Shared = table(Id);
  Shared.Copy = std::make_unique<fleet::shared_table>(std::move(TableHooks));
  follower_hooks FollowerHooks;
  FollowerHooks.OnNews = [this, Id](uint64_t After,
                                    const std::vector<stored_row> &Rows) {
    passOn(Id, After, Rows);
  };
  FollowerHooks.OnWhole = [this] { Hooks.Announce(); };
  FollowerHooks.OnReachability = [this, Id](bool Away) {
    common::log(Away ? log_level::Warning : log_level::Info, Room,
                Away ? "store does not answer" : "store answers again",
                {{"table", std::string(pathOf(Id))}});
    Hooks.Announce();
  };
  follow_settings Follow = Settings.Follow;
  // A change of the configuration must not wait for another one.
  if (Id == table_id::Configuration)
    Follow.Gather = duration::zero();
  Shared.Follower = std::make_unique<table_follower>(
      Loop, std::move(Table), Follow, *Shared.Copy, std::move(FollowerHooks));
}

void store_sharing::start() {
  for (const shared &Shared : Tables)
    Shared.Follower->switchOn();
  Loop.callEvery(JudgePeriod, [this] { judge(); });
}

reading_state store_sharing::reading() const {
  reading_state Worst = reading_state::LongSteady;
  for (const shared &Shared : Tables) {
    const reading_state State = Shared.Follower->state();
    if (State == reading_state::Failing)
      return State;
    if (State == reading_state::NotReading ||
        (State == reading_state::Steady && isSteady(Worst)))
      Worst = State;
  }
  return Worst;
}

void store_sharing::judge() {
  const boot_time Now = Loop.now();
  const fleet::reader_decision Decision =
      fleet::decideReader(Peers, Settings.Identity.Name, Settings.Readers, Now);
  bool HaveAll = true;
  for (const shared &Shared : Tables) {
    Shared.Follower->setPatient(!Decision.Preferred);
    HaveAll = HaveAll && Shared.Copy->hasContent();
  }
  const reading_state State = reading();
  if (State != Told) {
    common::log(log_level::Info, Room, "reading changed",
                {{"reads", State == reading_state::NotReading ? 0 : 1},
                 {"troubled", State == reading_state::Failing ? 1 : 0},
                 {"covered_by_others", Decision.Covered ? 1 : 0},
                 {"peers_heard", Peers.reachableCount(Now)}});
    Told = State;
    Hooks.Announce();
  }
  if (Decision.Covered && HaveAll) {
    UncoveredSince.reset();
    for (const shared &Shared : Tables)
      Shared.Follower->switchOff();
    return;
  }
  if (!UncoveredSince)
    UncoveredSince = Now;
  if (Now - *UncoveredSince < Decision.TakeOverDelay)
    return;
  for (const shared &Shared : Tables)
    Shared.Follower->switchOn();
}

bool store_sharing::storeSteady() const {
  return isSteady(reading()) || Peers.othersReadSteadily(Loop.now());
}

void store_sharing::describe(fleet::update_message &News) const {
  News.Reading = reading();
  News.ConfigurationChange = table(table_id::Configuration).Copy->lastChange();
  News.TargetsChange = table(table_id::Targets).Copy->lastChange();
}

void store_sharing::passOn(table_id Id, uint64_t After,
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
    if (sizeOf(Row) > LargestRelay) {
      // Peers see by the next news that they are behind.
      Hooks.Announce();
      return;
    }
    if (Size + sizeOf(Row) > LargestRelay)
      Flush();
    Message.Rows.push_back(Row);
    Size += sizeOf(Row);
  }
  Flush();
}

void store_sharing::take(const fleet::rows_message &Rows) {
  // A gap shows in the sender's next news, too, and is fetched then.
  table(Rows.Table).Copy->applyRelayed(Rows.After, Rows.Rows);
}

void store_sharing::onNews(const fleet::peer &Peer,
                           const fleet::update_message &News) {
  planFetch(table_id::Configuration, Peer, News.ConfigurationChange);
  planFetch(table_id::Targets, Peer, News.TargetsChange);
}

void store_sharing::planFetch(table_id Id, const fleet::peer &Peer,
                              uint64_t Change) {
  shared &Shared = table(Id);
  const auto Behind = [&Shared, Change] {
    return Shared.Copy->knownThrough() < Change;
  };
  if (!Behind() || Shared.Fetch || Shared.FetchPlanned)
    return;
  const bool Near =
      Peer.Identity.FailureDomain == Settings.Identity.FailureDomain;
  // Changes that are passed on come within moments by themselves.
  const auto Spread = std::chrono::milliseconds(
      absl::Uniform<int64_t>(Random, 1, FetchSpread.count()));
  const duration Delay = Near ? duration(Spread) : FarFetchDelay + Spread * 2;
  Shared.FetchPlanned = true;
  Loop.callAfter(Delay,
                 [this, Id, Behind, Address = Peer.Identity.PeerAddress] {
                   table(Id).FetchPlanned = false;
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
  shared &Shared = table(Id);
  Shared.Fetch = Connection;
  message::client_hooks FetchHooks;
  FetchHooks.OnConnected = [Id, Raw = Connection.get()] {
    message::request Request;
    Request.Method = "GET";
    Request.Target = pathOf(Id);
    Request.Headers.add("Host", "peer");
    Raw->send(message::serialize(Request), false);
  };
  FetchHooks.OnAnswer = [this, Id](const message::response &Answer) {
    const auto Whole = fleet::decodeSnapshot(Answer.Body);
    if (Answer.Status == Ok && Whole.ok()) {
      table(Id).Copy->applySnapshot(Whole->Rows, Whole->Version);
      Hooks.Announce();
    }
    endFetch(Id);
  };
  FetchHooks.OnConnectFailed = [this, Id] { endFetch(Id); };
  FetchHooks.OnFailure = [this, Id](message::exchange_failure) {
    endFetch(Id);
  };
  Connection->setHooks(std::move(FetchHooks));
  Shared.FetchTimer =
      Loop.callAfter(FetchTimeout, [this, Id] { endFetch(Id); });
}

void store_sharing::endFetch(table_id Id) {
  shared &Shared = table(Id);
  Loop.cancel(Shared.FetchTimer);
  if (!Shared.Fetch)
    return;
  Shared.Fetch->setHooks({});
  Shared.Fetch->close();
  Loop.retire(std::move(Shared.Fetch));
  Shared.Fetch = nullptr;
}

void store_sharing::answer(message::server_call &Call) const {
  message::response Answer;
  Answer.Status = NotFound;
  for (size_t Index = 0; Index < Tables.size(); ++Index) {
    const fleet::shared_table &Copy = *Tables.at(Index).Copy;
    if (Call.Request.path() != Paths.at(Index) || !Copy.hasContent())
      continue;
    Answer.Status = Ok;
    Answer.Body = fleet::encodeSnapshot(Copy.rows(), Copy.knownThrough());
  }
  Call.answer(std::move(Answer));
}

} // namespace magnolia::gateway
