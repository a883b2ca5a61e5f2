#include "Gateway/StoreSharing.h"

#include <algorithm>

#include <doctest/doctest.h>

#include "Common/Digest.h"
#include "PeerServer.h"

using namespace magnolia;
using namespace magnolia::gateway;
using namespace magnolia::gateway::testing;
using fleet::table_id;
using std::chrono::milliseconds;

namespace {

constexpr fleet::store_position Earlier{1, 10};
constexpr fleet::store_position Later{1, 20};
/// A change must be in force after two seconds, so an instance that knows of it
/// has it in half of that.
constexpr int CatchUpMillis = 1000;
constexpr const char *OwnDomain = "Senica";

constexpr const char *Readers[] = {"reader-1", "reader-2", "reader-3",
                                   "reader-4"};

/// A name after those of the readers in the order of the fleet, so that the
/// instance does not read the store while they do.
std::string lastInOrder() {
  std::string Name = "own";
  const auto IsBefore = [&](const char *Reader) {
    return common::stableHash(Reader) < common::stableHash(Name);
  };
  while (!std::all_of(std::begin(Readers), std::end(Readers), IsBefore))
    Name += '-';
  return Name;
}

std::string pathOf(table_id Id) {
  return Id == table_id::Configuration ? "/configuration" : "/targets";
}

std::vector<stored_row> rowsAt(fleet::store_position Position) {
  return {
      {"a", "at " + std::to_string(Position.Version), Position.Version, false}};
}

/// An instance's replicas, with peers behind real sockets that name their
/// positions as the test says, and a store that the test answers.
class shared_store {
public:
  /// \p HasContent: starts with the content of Earlier.
  explicit shared_store(bool HasContent = true) {
    Settings.Identity.Name = lastInOrder();
    Settings.Identity.FailureDomain = OwnDomain;
    fleet::peer_hooks PeerHooks;
    PeerHooks.OnUpdate = [this](const fleet::peer &Peer,
                                const fleet::update_message &Update) {
      Sharing->onUpdate(Peer, Update);
    };
    PeerHooks.OnSuspect = [](const fleet::suspect_report &) {};
    Peers.emplace(Settings.Identity.Name, 1, Loop->now(),
                  fleet::peer_settings(), std::move(PeerHooks));
    // Reads steadily, in other domains, so that this instance need not.
    for (const char *Name : Readers)
      addPeer(Name, "Nitra", peer_behavior::Serves, true);
    store_sharing::hooks Hooks;
    Hooks.Configuration = tableHooks();
    Hooks.Targets = tableHooks();
    Hooks.Send = [](const fleet::rows_message &) {};
    Hooks.Announce = [] {};
    Hooks.AnnounceInDomain = [] {};
    Sharing.emplace(*Loop, Settings, *Peers, storeTable("configuration"),
                    storeTable("targets"), std::move(Hooks));
    for (auto &[Name, Peer] : Known)
      update(Peer);
    if (HasContent)
      load();
  }

  peer_server &addPeer(const std::string &Name, const std::string &Domain,
                       peer_behavior Behavior, bool Reads = false) {
    peer_state &Peer = Known[Name];
    Peer.Server = std::make_unique<peer_server>(*Loop, Behavior);
    Peer.Boot = Known.size() + 1;
    Peer.Reads = Reads;
    fleet::hello_message Hello;
    Hello.Boot = Peer.Boot;
    Hello.Identity = {Name, Domain, Peer.Server->address(), ""};
    Hello.State = fleet::instance_state::Ready;
    Peers->apply(Hello, Loop->now());
    return *Peer.Server;
  }

  /// The peer names what it has of a table, and serves it.
  void name(const std::string &PeerName, table_id Id,
            fleet::store_position Position) {
    peer_state &Peer = Known[PeerName];
    Peer.Server->setContent(
        pathOf(Id),
        fleet::encodeContent({Position, /*ChangesOnly=*/Position.Era == 1 &&
                                            Sharing->eraOf(Id) == 1,
                              rowsAt(Position)}));
    Peer.Tables.at(static_cast<size_t>(Id)) = {
        Position, Position.Version == 10 ? uint32_t{1} : uint32_t{2}};
    update(Peer);
  }

  /// The peer sends nothing more.
  void silence(const std::string &PeerName) { Known[PeerName].Dead = true; }

  bool has(table_id Id, fleet::store_position Position, int WithinMillis) {
    return until([&] { return valueOf(Id) == rowsAt(Position).front().Value; },
                 WithinMillis);
  }

  /// Runs the loop, with an update of each peer every 250 ms.
  bool until(const std::function<bool()> &Done, int Millis) {
    const auto End = common::boot_clock::now() + milliseconds(Millis);
    while (common::boot_clock::now() < End) {
      if (Loop->runUntil(
              Done, std::min<common::boot_clock::duration>(
                        milliseconds(250), End - common::boot_clock::now())))
        return true;
      for (auto &[PeerName, Peer] : Known)
        if (!Peer.Dead)
          update(Peer);
    }
    return Done();
  }

  std::string valueOf(table_id Id) const {
    return Values.at(static_cast<size_t>(Id));
  }

  std::unique_ptr<event::event_loop> Loop = *event::event_loop::create();
  settings Settings;
  std::optional<fleet::peer_view> Peers;
  std::optional<store_sharing> Sharing;
  /// Calls for the changes of a table.
  size_t StoreCalls = 0;
  /// What the store answers; without it no call is answered.
  std::optional<fleet::store_position> Stored;

private:
  struct peer_state {
    std::unique_ptr<peer_server> Server;
    uint64_t Boot = 0;
    uint64_t Updates = 0;
    bool Reads = false;
    bool Dead = false;
    std::array<fleet::table_status, fleet::TableCount> Tables;
  };

  void update(peer_state &Peer) {
    fleet::update_message Update;
    Update.Boot = Peer.Boot;
    Update.Number = ++Peer.Updates;
    Update.State = fleet::instance_state::Ready;
    Update.Reading = Peer.Reads ? fleet::reading_state::LongSteady
                                : fleet::reading_state::NotReading;
    Update.Tables = Peer.Tables;
    Peers->apply(Update, Loop->now());
  }

  fleet::table_hooks tableHooks() {
    const size_t Index = NextTable++;
    fleet::table_hooks Hooks;
    Hooks.OnChange = [this, Index](const stored_row &Row) {
      Values.at(Index) = Row.Value;
    };
    Hooks.OnSnapshot = [this, Index](const std::vector<stored_row> &Rows) {
      Values.at(Index) = Rows.empty() ? "" : Rows.front().Value;
    };
    return Hooks;
  }

  store_table storeTable(const std::string &) {
    store_table Table;
    const auto Answer = [this](const store_callback &OnReply) {
      ++StoreCalls;
      if (!Stored)
        return;
      Loop->callAfter(milliseconds(4), [this, OnReply] {
        OnReply({store_result::Done, rowsAt(*Stored), Stored->Era,
                 Stored->Version, false});
      });
    };
    Table.Read = [Answer](const std::string &, const store_callback &OnReply) {
      Answer(OnReply);
    };
    Table.Follow = [Answer](uint64_t, auto, const store_callback &OnReply) {
      Answer(OnReply);
    };
    return Table;
  }

  /// Gets the content of Earlier from a neighbor, which then leaves.
  void load() {
    addPeer("first", OwnDomain, peer_behavior::Serves);
    name("first", table_id::Configuration, Earlier);
    name("first", table_id::Targets, Earlier);
    REQUIRE(has(table_id::Configuration, Earlier, 2000));
    REQUIRE(has(table_id::Targets, Earlier, 2000));
    Sharing->start();
    silence("first");
  }

  std::map<std::string, peer_state> Known;
  std::array<std::string, fleet::TableCount> Values;
  size_t NextTable = 0;
};

std::string nameOf(peer_behavior Behavior) {
  switch (Behavior) {
  case peer_behavior::Serves:
    return "serves";
  case peer_behavior::Silent:
    return "is silent";
  case peer_behavior::Drips:
    return "drips";
  case peer_behavior::SendsHalf:
    return "sends half";
  case peer_behavior::SendsNonsense:
    return "sends nonsense";
  case peer_behavior::HasNothing:
    return "has nothing";
  case peer_behavior::IsBusy:
    return "is busy";
  case peer_behavior::Resets:
    return "resets";
  case peer_behavior::RefusesConnections:
    return "refuses connections";
  }
  return "";
}

constexpr peer_behavior Faults[] = {
    peer_behavior::Silent,     peer_behavior::Drips,
    peer_behavior::SendsHalf,  peer_behavior::SendsNonsense,
    peer_behavior::HasNothing, peer_behavior::IsBusy,
    peer_behavior::Resets,     peer_behavior::RefusesConnections};

} // namespace

// Guards against an older configuration that stays in force, for longer than
// the two seconds that are allowed, on the neighbors of a reader of the store
// that loses power right after it named a change.
TEST_CASE("A table whose source fails right after it was named arrives in time "
          "from another") {
  // For each kind of fault and each table.
  const auto ForEach = [](const auto &Check) {
    for (const peer_behavior Fault : Faults)
      for (const table_id Id : {table_id::Configuration, table_id::Targets}) {
        CAPTURE(nameOf(Fault));
        CAPTURE(pathOf(Id));
        Check(Fault, Id);
      }
  };

  SUBCASE("in another failure domain") {
    ForEach([](peer_behavior Fault, table_id Id) {
      shared_store Store;
      peer_server &Failing = Store.addPeer("near", OwnDomain, Fault);
      Store.name("near", Id, Later);
      Store.silence("near");
      Store.name("reader-1", Id, Later);
      CHECK(Store.has(Id, Later, CatchUpMillis));
      CHECK(Failing.requests() <= 2);
      CHECK(Store.StoreCalls == 0);
    });
  }
  SUBCASE("in the own one") {
    ForEach([](peer_behavior Fault, table_id Id) {
      shared_store Store;
      Store.addPeer("near", OwnDomain, Fault);
      Store.addPeer("neighbor", OwnDomain, peer_behavior::Serves);
      Store.name("near", Id, Later);
      Store.silence("near");
      Store.name("neighbor", Id, Later);
      CHECK(Store.has(Id, Later, CatchUpMillis));
    });
  }
  SUBCASE("when both readers of the store failed") {
    ForEach([](peer_behavior Fault, table_id Id) {
      shared_store Store;
      Store.addPeer("near", OwnDomain, Fault);
      Store.addPeer("far", "Trnava", Fault);
      Store.name("near", Id, Later);
      Store.name("far", Id, Later);
      Store.silence("near");
      Store.silence("far");
      Store.name("reader-1", Id, Later);
      CHECK(Store.has(Id, Later, CatchUpMillis));
    });
  }
  SUBCASE("the store, if no peer is left that has it") {
    ForEach([](peer_behavior Fault, table_id Id) {
      shared_store Store;
      Store.addPeer("near", OwnDomain, Fault);
      Store.Stored = Later;
      Store.name("near", Id, Later);
      CHECK(Store.has(Id, Later, CatchUpMillis));
      CHECK(Store.StoreCalls > 0);
    });
  }
  SUBCASE("at a start") {
    ForEach([](peer_behavior Fault, table_id Id) {
      shared_store Store(/*HasContent=*/false);
      Store.addPeer("near", OwnDomain, Fault);
      Store.name("near", Id, Later);
      Store.silence("near");
      Store.name("reader-1", Id, Later);
      CHECK(Store.has(Id, Later, CatchUpMillis));
    });
  }
  SUBCASE("after the store was restored from a copy") {
    constexpr fleet::store_position Restored{2, 15};
    ForEach([Restored](peer_behavior Fault, table_id Id) {
      shared_store Store;
      Store.addPeer("near", OwnDomain, Fault);
      Store.name("near", Id, Restored);
      Store.silence("near");
      Store.name("reader-1", Id, Restored);
      CHECK(Store.has(Id, Restored, CatchUpMillis));
    });
  }
}

TEST_CASE("A change that no peer names, since all readers of the store ended, "
          "is read from the store in time") {
  shared_store Store;
  Store.Stored = Later;
  for (const char *Reader : Readers)
    Store.silence(Reader);
  Store.addPeer("neighbor", OwnDomain, peer_behavior::Serves);
  CHECK(Store.has(table_id::Configuration, Later, 1700));
}
