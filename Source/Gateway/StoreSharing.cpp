#include "Gateway/StoreSharing.h"

#include <algorithm>

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

#include "Common/Log.h"
#include "Common/StringView.h"

namespace magnolia::gateway {
namespace {

using common::log_level;
using fleet::isSteady;
using fleet::reading_state;
using fleet::table_id;

constexpr std::string_view Component = "Store";
constexpr std::chrono::milliseconds ReadingUpdatePeriod{100};
/// The same period until all tables are loaded.
constexpr std::chrono::milliseconds LoadingUpdatePeriod{20};
/// Time after a start in which the instances of a fleet introduce themselves,
/// before any of them decides whether to read.
constexpr std::chrono::milliseconds IntroductionTime{60};
/// While a neighbor has the tables, an instance that starts waits this long for
/// them before it reads the store.
constexpr std::chrono::milliseconds NeighborPatience{300};
/// A full table is served once in this time, so that many instances that start
/// together also fetch from those that have just loaded it, instead of all
/// sharing the bandwidth of the first one.
constexpr std::chrono::milliseconds FullServePeriod{30};
/// Larger changes do not fit a datagram; peers fetch them.
constexpr size_t MaxForwardBytes = 1200;
constexpr int Ok = 200;
constexpr int NotFound = 404;
constexpr int Unavailable = 503;
/// Follows the path of a table; the version up to which the peer has the table.
constexpr std::string_view AfterQuery = "?after=";
/// Follows the version; its era.
constexpr std::string_view EraQuery = "&era=";

constexpr std::array<std::string_view, fleet::TableCount> Paths = {
    "/configuration", "/targets"};

std::string_view pathOf(table_id Id) {
  return Paths.at(static_cast<size_t>(Id));
}

std::string contentPath(table_id Id, fleet::store_position After) {
  return absl::StrCat(common::toAbsl(pathOf(Id)), common::toAbsl(AfterQuery),
                      After.Version, common::toAbsl(EraQuery), After.Era);
}

/// The position up to which a peer has the table; zero if it does not say.
fleet::store_position positionFrom(std::string_view Target) {
  fleet::store_position After;
  const auto Version = message::queryParameter(Target, "after");
  const auto Era = message::queryParameter(Target, "era");
  if (!Version || !absl::SimpleAtoi(*Version, &After.Version) || !Era ||
      !absl::SimpleAtoi(*Era, &After.Era))
    return {};
  return After;
}

size_t sizeOf(const stored_row &Row) {
  return Row.Key.size() + Row.Value.size() + sizeof(Row.Version);
}

} // namespace

store_sharing::store_sharing(event::event_loop &Loop, const settings &Settings,
                             const fleet::peer_view &Peers,
                             store_table Configuration, store_table Targets,
                             hooks Given)
    : Loop(Loop), Settings(Settings), Peers(Peers), Hooks(std::move(Given)),
      Started(Loop.now()) {
  addTable(table_id::Configuration, std::move(Configuration),
           Hooks.Configuration);
  addTable(table_id::Targets, std::move(Targets), Hooks.Targets);
}

void store_sharing::addTable(table_id Id, store_table Table,
                             fleet::table_hooks TableHooks) {
  replica &Replica = table(Id);
  TableHooks.OnRestored = [this, Owner = std::move(TableHooks.OnRestored)] {
    ReplacedAt = Loop.now();
    if (Owner)
      Owner();
  };
  Replica.Copy = std::make_unique<fleet::shared_table>(std::move(TableHooks));
  Replica.Fetch = std::make_unique<content_fetch>(Loop, Settings, Peers,
                                                  pathOf(Id), fetchHooks(Id));
  follower_hooks FollowerHooks;
  FollowerHooks.OnChanges = [this, Id](const std::vector<stored_row> &Rows) {
    forward(Id, Rows);
  };
  FollowerHooks.OnSnapshot = [this] { Hooks.Announce(); };
  FollowerHooks.OnRestored = [this](uint64_t Era) { onRestored(Era); };
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
      Loop, pathOf(Id), std::move(Table), Follow, *Replica.Copy,
      std::move(FollowerHooks));
}

void store_sharing::start() {
  UncoveredSince = Started;
  scheduleReadingUpdate();
}

void store_sharing::scheduleReadingUpdate() {
  Loop.callAfter(allLoaded() ? ReadingUpdatePeriod : LoadingUpdatePeriod,
                 [this] {
                   updateReading();
                   scheduleReadingUpdate();
                 });
}

bool store_sharing::allLoaded() const {
  return std::all_of(Tables.begin(), Tables.end(), [](const replica &Replica) {
    return Replica.Copy->hasContent();
  });
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
      fleet::decideReader(Peers, Settings.Identity, Settings.Readers, Now);
  OnStrongMachine = Decision.OnStrongMachine;
  for (const replica &Replica : Tables)
    Replica.Follower->setBackup(!Decision.Preferred);
  const reading_state State = reading();
  if (State != AnnouncedState) {
    common::log(log_level::Info, Component, "store reading state changed",
                {{"reads", State == reading_state::NotReading ? 0 : 1},
                 {"troubled", State == reading_state::Failing ? 1 : 0},
                 {"covered_by_others", Decision.Covered ? 1 : 0},
                 {"strong_machine", Decision.OnStrongMachine ? 1 : 0},
                 {"peers_heard", Peers.reachableCount(Now)}});
    AnnouncedState = State;
    Hooks.Announce();
  }
  const bool LastResort = needsStore();
  if (Decision.Covered && allLoaded() && !LastResort) {
    UncoveredSince.reset();
    for (const replica &Replica : Tables)
      Replica.Follower->disable();
    return;
  }
  if (!UncoveredSince)
    UncoveredSince = Now;
  if (!LastResort && Now - *UncoveredSince < readingDelay(Decision))
    return;
  for (const replica &Replica : Tables)
    Replica.Follower->enable();
}

duration
store_sharing::readingDelay(const fleet::reader_decision &Decision) const {
  if (allLoaded())
    return Decision.TakeOverDelay;
  // The first of each domain read, so that the others can fetch the tables
  // from a neighbor.
  const bool NeighborHasAll = hasNearSource(table_id::Configuration) &&
                              hasNearSource(table_id::Targets);
  return IntroductionTime + decideInDomain().TakeOverDelay +
         (NeighborHasAll ? NeighborPatience : duration::zero());
}

fleet::reader_decision store_sharing::decideInDomain() const {
  return fleet::decideReader(Peers, Settings.Identity, Settings.Readers,
                             Loop.now(), Settings.Identity.FailureDomain);
}

void store_sharing::onRestored(uint64_t Era) {
  if (Era <= NoticedEra)
    return;
  NoticedEra = Era;
  if (Hooks.OnRestored)
    Hooks.OnRestored();
}

bool store_sharing::storeSteady() const {
  // What a copy lacks may be written again.
  if (ReplacedAt && Loop.now() - *ReplacedAt < Settings.Follow.ExpiryGrace)
    return false;
  return isSteady(reading()) || Peers.othersReadSteadily(Loop.now());
}

void store_sharing::fillTableStatus(fleet::update_message &Update) const {
  Update.Reading = reading();
  for (size_t Index = 0; Index < Tables.size(); ++Index)
    if (Tables.at(Index).Copy->hasContent())
      Update.Tables.at(Index) = Tables.at(Index).Copy->status();
}

void store_sharing::forward(table_id Id, const std::vector<stored_row> &Rows) {
  if (fleet::decideReader(Peers, Settings.Identity, Settings.Readers,
                          Loop.now())
          .Covered)
    return;
  fleet::rows_message Message;
  Message.Table = Id;
  Message.Era = eraOf(Id);
  size_t Size = 0;
  const auto Flush = [&] {
    if (!Message.Rows.empty())
      Hooks.Send(Message);
    Message.Rows.clear();
    Size = 0;
  };
  for (const stored_row &Row : Rows) {
    if (sizeOf(Row) > MaxForwardBytes) {
      // Peers see in the next update that they are behind, and fetch it.
      Hooks.Announce();
      continue;
    }
    if (Size + sizeOf(Row) > MaxForwardBytes)
      Flush();
    Message.Rows.push_back(Row);
    Size += sizeOf(Row);
  }
  Flush();
}

void store_sharing::applyForwarded(const fleet::rows_message &Rows) {
  table(Rows.Table).Copy->applyForwarded(Rows.Rows, Rows.Era);
}

void store_sharing::onUpdate(const fleet::peer & /*Peer*/,
                             const fleet::update_message &Update) {
  compare(table_id::Configuration,
          Update.Tables.at(static_cast<size_t>(table_id::Configuration)));
  compare(table_id::Targets,
          Update.Tables.at(static_cast<size_t>(table_id::Targets)));
}

void store_sharing::compare(table_id Id, const fleet::table_status &Status) {
  replica &Replica = table(Id);
  if (Replica.Copy->includes(Status))
    return;
  if (Status.Position > Replica.Behind.Position)
    Replica.Behind = Status;
  Replica.Fetch->request(/*MayArrive=*/Replica.Copy->hasContent());
}

content_fetch::hooks store_sharing::fetchHooks(table_id Id) {
  content_fetch::hooks FetchHooks;
  FetchHooks.Has = [this, Id](const fleet::peer &Peer) {
    return isAhead(Peer, Id);
  };
  FetchHooks.IsMissing = [this, Id] {
    const replica &Replica = table(Id);
    return !Replica.Copy->includes(Replica.Behind);
  };
  FetchHooks.Path = [this, Id] {
    return contentPath(Id, table(Id).Copy->status().Position);
  };
  FetchHooks.Apply = [this, Id](std::string_view Body, bool FromNear) {
    return onContent(Id, Body, FromNear);
  };
  FetchHooks.Known = [this, Id] { return table(Id).Copy->status().Position; };
  FetchHooks.Newest = [this, Id] { return table(Id).Behind.Position; };
  return FetchHooks;
}

bool store_sharing::isAhead(const fleet::peer &Peer, table_id Id) const {
  return Peer.Tables.at(static_cast<size_t>(Id)).Position >
         table(Id).Copy->status().Position;
}

bool store_sharing::hasNearSource(table_id Id) const {
  const auto &All = Peers.peers();
  return std::any_of(All.begin(), All.end(), [&](const auto &Entry) {
    const fleet::peer &Peer = Entry.second;
    return isNear(Peer) && Peers.isReachable(Peer, Loop.now()) &&
           isAhead(Peer, Id);
  });
}

bool store_sharing::needsStore() const {
  return std::any_of(Tables.begin(), Tables.end(), [](const replica &Replica) {
    return Replica.Fetch->needsStore();
  });
}

bool store_sharing::onContent(table_id Id, std::string_view Body,
                              bool FromNear) {
  const auto Content = fleet::decodeContent(Body);
  if (!Content.ok()) {
    common::log(log_level::Warning, Component, "invalid table of a peer",
                {{"table", std::string(pathOf(Id))},
                 {"detail", std::string(Content.status().message())}});
    return false;
  }
  replica &Replica = table(Id);
  const bool First = !Replica.Copy->hasContent();
  const fleet::store_position Before = Replica.Copy->status().Position;
  Replica.Copy->applyContent(*Content);
  // Neighbors can now fetch it from here.
  if (First || !FromNear)
    Hooks.AnnounceInDomain();
  return First || Replica.Copy->status().Position > Before;
}

void store_sharing::serveTable(message::server_call &Call) {
  message::response Response;
  Response.Status = NotFound;
  for (size_t Index = 0; Index < Tables.size(); ++Index) {
    replica &Replica = Tables.at(Index);
    if (Call.Request.path() != Paths.at(Index) || !Replica.Copy->hasContent())
      continue;
    const fleet::table_content Content =
        Replica.Copy->contentAfter(positionFrom(Call.Request.Target));
    const boot_time Now = Loop.now();
    if (!Content.ChangesOnly && Now - Replica.FullServedAt < FullServePeriod) {
      Response.Status = Unavailable;
      continue;
    }
    if (!Content.ChangesOnly)
      Replica.FullServedAt = Now;
    Response.Status = Ok;
    Response.Body = fleet::encodeContent(Content);
  }
  Call.respond(std::move(Response));
}

} // namespace magnolia::gateway
