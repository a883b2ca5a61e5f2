#include "Gateway/TableFollower.h"

#include <doctest/doctest.h>

using namespace magnolia;
using namespace magnolia::gateway;
using std::chrono::milliseconds;

namespace {

stored_row row(std::string Value, uint64_t Version) {
  return {"a", std::move(Value), Version, false};
}

store_reply done(std::optional<uint64_t> Era, uint64_t Version,
                 std::vector<stored_row> Rows = {}) {
  return {store_result::Done, std::move(Rows), Era, Version, false};
}

store_reply historyLost(uint64_t Era, uint64_t Version) {
  return {store_result::HistoryLost, {}, Era, Version, false};
}

/// A follower whose calls the test answers.
class followed_table {
public:
  followed_table() {
    Settings.InitialRetryDelay = milliseconds(10);
    Settings.BackupSnapshotDelay = milliseconds(50);
    Settings.BatchDelay = common::boot_clock::duration::zero();
    store_table Table;
    Table.Read = [this](const std::string &, store_callback OnReply) {
      ++Reads;
      Pending = std::move(OnReply);
    };
    Table.Follow = [this](uint64_t Version, auto, store_callback OnReply) {
      After = Version;
      Pending = std::move(OnReply);
    };
    follower_hooks Hooks;
    Hooks.OnChanges = [](const std::vector<stored_row> &) {};
    Hooks.OnSnapshot = [] {};
    Hooks.OnRestored = [this](uint64_t Era) { RestoredEra = Era; };
    Hooks.OnAvailability = [](bool) {};
    Follower.emplace(*Loop, "table", std::move(Table), Settings, Copy,
                     std::move(Hooks));
    Follower->enable();
    reply(done(1, 40, {row("first", 30)}));
  }

  void reply(store_reply Reply) {
    REQUIRE(Pending);
    std::exchange(Pending, nullptr)(std::move(Reply));
  }
  void pause(int Millis) {
    Loop->runUntil([] { return false; }, milliseconds(Millis));
  }
  std::string value() const {
    const auto Rows = Copy.contentAfter({}).Rows;
    return Rows.empty() ? "" : Rows.front().Value;
  }

  std::unique_ptr<event::event_loop> Loop = *event::event_loop::create();
  follow_settings Settings;
  fleet::shared_table Copy{{[](const std::vector<stored_row> &) {},
                            [](const stored_row &) {}, nullptr, nullptr}};
  std::optional<table_follower> Follower;
  /// The callback of the call that runs.
  store_callback Pending;
  size_t Reads = 0;
  uint64_t After = 0;
  uint64_t RestoredEra = 0;
};

} // namespace

TEST_CASE("A follower of a table") {
  followed_table Table;
  REQUIRE(Table.Reads == 1);
  REQUIRE(Table.After == 40);

  SUBCASE("reads the table again when the store was restored") {
    SUBCASE("to a version before its own") { Table.reply(historyLost(2, 20)); }
    SUBCASE("and has given out versions after its own meanwhile") {
      // The changes of the new era up to its own version are not among these.
      Table.reply(done(2, 45, {row("not all", 45)}));
    }
    CHECK(Table.RestoredEra == 2);
    CHECK(Table.Reads == 2);
    Table.reply(done(2, 45, {row("restored", 38)}));
    CHECK(Table.value() == "restored");
    CHECK(Table.After == 45);
  }
  SUBCASE("leaves the reading to others as a backup") {
    Table.Follower->setBackup(true);
    Table.reply(historyLost(2, 20));
    CHECK(Table.Reads == 1);

    SUBCASE("and follows what it got from a peer") {
      Table.Copy.applySnapshot({row("from a peer", 21)}, {2, 22});
      Table.pause(80);
      CHECK(Table.Reads == 1);
      CHECK(Table.After == 22);
    }
    SUBCASE("but not for long") {
      Table.pause(80);
      CHECK(Table.Reads == 2);
    }
  }
  SUBCASE("ignores a reply that was on its way since before the restore") {
    Table.Copy.applySnapshot({row("from a peer", 21)}, {2, 22});
    Table.reply(done(1, 60, {row("late", 60)}));
    CHECK(Table.value() == "from a peer");
    Table.pause(30);
    CHECK(Table.After == 22);
  }
  SUBCASE("does not take the changes after a version of an earlier era") {
    // The call asked for changes after 40 of the first era.
    Table.Copy.applySnapshot({row("from a peer", 21)}, {2, 42});
    Table.reply(done(2, 60, {row("not all", 60)}));
    CHECK(Table.value() == "from a peer");
  }
  SUBCASE("begins a table of several pages anew if it was restored meanwhile") {
    Table.reply(historyLost(1, 50));
    Table.pause(30);
    store_reply Page = done(1, 50, {row("page of before", 50)});
    Page.Truncated = true;
    Table.reply(Page);
    Table.reply(done(2, 20, {{"b", "second page", 12, false}}));
    Table.reply(done(2, 20, {row("restored", 11)}));
    CHECK(Table.Copy.size() == 1);
    CHECK(Table.value() == "restored");
  }
  SUBCASE("pauses between snapshots of a store that keeps no history") {
    for (size_t Count = 1; Count < 4; ++Count) {
      Table.reply(historyLost(1, 50));
      CHECK(Table.Reads == Count);
      Table.pause(100);
      REQUIRE(Table.Reads == Count + 1);
      Table.reply(done(1, 50, {row("first", 30)}));
    }
  }
  SUBCASE("follows a store that names no era") {
    Table.reply(done(std::nullopt, 44, {row("changed", 44)}));
    CHECK(Table.value() == "changed");
    CHECK(Table.After == 44);
  }
}
