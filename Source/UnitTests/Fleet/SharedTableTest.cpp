#include "Fleet/SharedTable.h"

#include <algorithm>
#include <map>
#include <random>

#include <doctest/doctest.h>

#include "Common/Digest.h"

using namespace magnolia::fleet;

namespace {

/// In these tests a value is "CONTENT#RENEWAL"; only the content matters.
uint64_t hashOfContent(const stored_row &Row) {
  return magnolia::common::stableHash(Row.Value.substr(0, Row.Value.find('#')));
}

stored_row row(std::string Key, std::string Value, uint64_t Version) {
  return {std::move(Key), std::move(Value), Version, false};
}

stored_row removal(std::string Key, uint64_t Version) {
  return {std::move(Key), "", Version, true};
}

constexpr uint64_t Era = 1;

/// A position in the era of most tests.
store_position at(uint64_t Version) { return {Era, Version}; }

shared_table makeTable() {
  return shared_table({[](const std::vector<stored_row> &) {},
                       [](const stored_row &) {}, nullptr, hashOfContent});
}

} // namespace

TEST_CASE("An instance's replica of a table") {
  std::vector<stored_row> Seen;
  size_t Snapshots = 0;
  shared_table Table({[&](const std::vector<stored_row> &) { ++Snapshots; },
                      [&](const stored_row &Row) { Seen.push_back(Row); },
                      nullptr, hashOfContent});

  SUBCASE("applies no changes of peers before it has content") {
    const std::vector<stored_row> Rows = {row("a", "v", 5)};
    Table.applyForwarded(Rows, Era);
    CHECK(Seen.empty());
    CHECK_FALSE(Table.includes({at(9), Table.status().Digest}));
  }

  Table.applySnapshot({row("a", "v#1", 5), row("b", "v#1", 8)}, at(10));
  CHECK(Snapshots == 1);
  CHECK(Table.status().Position == at(10));

  SUBCASE("applies changes from the store and from peers") {
    const std::vector<stored_row> First = {row("c", "v", 12)};
    CHECK(Table.applyChanges(First, at(14)) == First);
    const std::vector<stored_row> Second = {removal("a", 16)};
    Table.applyForwarded(Second, Era);
    CHECK(Seen.size() == 2);
    CHECK(Table.size() == 2);

    SUBCASE("each once") {
      Table.applyForwarded(Second, Era);
      CHECK(Table.applyChanges(Second, at(17)).empty());
      CHECK(Seen.size() == 2);
    }
    SUBCASE("and none that a later one has undone") {
      const std::vector<stored_row> Late = {row("a", "w", 15)};
      Table.applyForwarded(Late, Era);
      CHECK(Table.size() == 2);
      CHECK(Seen.size() == 2);
    }
    SUBCASE("and no snapshot that is older than its content") {
      Table.applySnapshot({row("a", "v", 5)}, at(11));
      CHECK(Table.size() == 2);
      CHECK(Snapshots == 1);
    }
    SUBCASE("and keeps those that are later than a snapshot") {
      Table.applySnapshot(
          {row("a", "v", 5), row("b", "v", 8), row("c", "v", 12)}, at(15));
      CHECK(Table.size() == 2);
      const std::vector<stored_row> Returned = {row("a", "v", 18)};
      Table.applyForwarded(Returned, Era);
      CHECK(Table.size() == 3);
    }
  }
  SUBCASE("passes on no renewals") {
    const std::vector<stored_row> Renewals = {row("a", "v#2", 11),
                                              row("b", "v#2", 12)};
    const table_status Before = Table.status();
    CHECK(Table.applyChanges(Renewals, at(12)).empty());
    CHECK(Seen.size() == 2);
    CHECK(Table.status().Digest == Before.Digest);
    CHECK(Table.status().Position == at(12));
    const std::vector<stored_row> Change = {row("a", "w#3", 13)};
    CHECK(Table.applyChanges(Change, at(13)) == Change);
    CHECK(Table.status().Digest != Before.Digest);
  }
}

TEST_CASE("Two replicas, one of which hears of changes through the other") {
  shared_table Reader = makeTable();
  shared_table Other = makeTable();
  const std::vector<stored_row> Start = {row("a", "v#1", 5),
                                         row("b", "v#1", 8)};
  Reader.applySnapshot(Start, at(10));
  Other.applySnapshot(Start, at(10));

  SUBCASE("agree while rows are only renewed") {
    const std::vector<stored_row> Renewals = {row("a", "v#2", 11)};
    Reader.applyChanges(Renewals, at(30));
    CHECK(Other.includes(Reader.status()));
    CHECK(Other.status() == Reader.status());
  }
  SUBCASE("agree again once the changes arrived, in any order") {
    const std::vector<stored_row> One = {row("c", "v", 12)};
    const std::vector<stored_row> Two = {removal("a", 14)};
    Reader.applyChanges(One, at(13));
    Reader.applyChanges(Two, at(20));
    CHECK_FALSE(Other.includes(Reader.status()));
    Other.applyForwarded(Two, Era);
    CHECK_FALSE(Other.includes(Reader.status()));
    Other.applyForwarded(One, Era);
    CHECK(Other.includes(Reader.status()));
    CHECK(Other.status() == Reader.status());
  }
  SUBCASE("show a lost change, which can be fetched without the rest") {
    const std::vector<stored_row> Lost = {removal("b", 12)};
    Reader.applyChanges(Lost, at(15));
    CHECK_FALSE(Other.includes(Reader.status()));
    const table_content Missing = Reader.contentAfter(Other.status().Position);
    CHECK(Missing.ChangesOnly);
    CHECK(Missing.Rows == Lost);
    Other.applyContent(Missing);
    CHECK(Other.includes(Reader.status()));
  }
  SUBCASE("do not need the status of one that knows less") {
    const std::vector<stored_row> Change = {row("c", "v", 12)};
    Reader.applyChanges(Change, at(12));
    CHECK(Reader.includes(Other.status()));
  }
  SUBCASE("find a change that was undone meanwhile") {
    const std::vector<stored_row> There = {row("a", "w", 12)};
    Reader.applyChanges(There, at(12));
    Other.applyForwarded(There, Era);
    const std::vector<stored_row> Back = {row("a", "v", 13)};
    Reader.applyChanges(Back, at(13));
    CHECK_FALSE(Other.includes(Reader.status()));
    Other.applyContent(Reader.contentAfter(Other.status().Position));
    CHECK(Other.status() == Reader.status());
  }
  SUBCASE("find what changed while the store lost its history") {
    Reader.applySnapshot({row("a", "v#7", 40), row("d", "v", 44)}, at(50));
    CHECK_FALSE(Other.includes(Reader.status()));
    const table_content Missing = Reader.contentAfter(Other.status().Position);
    CHECK(Missing.ChangesOnly);
    CHECK(Missing.Rows.size() == 2);
    Other.applyContent(Missing);
    CHECK(Other.status() == Reader.status());
  }
  SUBCASE("exchange the full table when the first has started later") {
    shared_table Fresh = makeTable();
    Fresh.applySnapshot({row("a", "v#9", 60)}, at(70));
    CHECK_FALSE(Other.includes(Fresh.status()));
    const table_content Missing = Fresh.contentAfter(Other.status().Position);
    CHECK_FALSE(Missing.ChangesOnly);
    Other.applyContent(Missing);
    CHECK(Other.status() == Fresh.status());
  }
}

TEST_CASE("Replicas after random changes, losses and repetitions") {
  // NOLINTNEXTLINE(cert-msc32-c,cert-msc51-cpp): the story must repeat.
  std::mt19937 Random(7);
  const auto Below = [&](uint32_t Bound) {
    return static_cast<uint32_t>(Random()) % Bound;
  };
  for (int Story = 0; Story < 200; ++Story) {
    shared_table Reader = makeTable();
    shared_table Other = makeTable();
    Reader.applySnapshot({}, at(1));
    Other.applySnapshot({}, at(1));
    std::vector<stored_row> OnTheWay;
    for (uint64_t Version = 2; Version < 80; ++Version) {
      const std::string Key(1, static_cast<char>('a' + Below(5)));
      const stored_row Change =
          Below(4) == 0
              ? removal(Key, Version)
              : row(Key, "v" + std::to_string(Below(3)) + "#", Version);
      for (const stored_row &Row :
           Reader.applyChanges({&Change, 1}, at(Version)))
        OnTheWay.push_back(Row);
      std::shuffle(OnTheWay.begin(), OnTheWay.end(), Random);
      // One arrives, one arrives and stays on its way, one is lost.
      if (!OnTheWay.empty() && Below(2) == 0) {
        if (Below(4) != 0)
          Other.applyForwarded({&OnTheWay.back(), 1}, Era);
        if (Below(3) != 0)
          OnTheWay.pop_back();
      }
      if (Below(10) == 0 && !Other.includes(Reader.status())) {
        Other.applyContent(Reader.contentAfter(Other.status().Position));
        REQUIRE(Other.status() == Reader.status());
      }
      // Equal statuses promise equal content.
      if (Other.includes(Reader.status()))
        REQUIRE(Other.contentAfter({}).Rows.size() ==
                Reader.contentAfter({}).Rows.size());
    }
  }
}

TEST_CASE("A replica of a store that is restored from an older copy") {
  size_t Restores = 0;
  shared_table Table({[](const std::vector<stored_row> &) {},
                      [](const stored_row &) {}, [&] { ++Restores; },
                      hashOfContent});
  Table.applySnapshot({row("a", "old", 5)}, {1, 10});
  const std::vector<stored_row> Lost = {row("a", "lost", 40),
                                        row("b", "lost", 44)};
  Table.applyChanges(Lost, {1, 44});
  CHECK(Restores == 0);
  const std::vector<stored_row> Again = {row("a", "again", 30)};

  SUBCASE("takes the content of the copy, though its version is lower") {
    Table.applySnapshot({row("a", "old", 5)}, {2, 20});
    CHECK(Restores == 1);
    CHECK(Table.status().Position == store_position{2, 20});
    CHECK(Table.size() == 1);
    CHECK(Table.applyChanges(Again, {2, 30}) == Again);

    SUBCASE("and nothing that was on its way before") {
      const std::vector<stored_row> Late = {row("a", "late", 50)};
      Table.applyForwarded(Late, 1);
      CHECK(Table.applyChanges(Late, {1, 50}).empty());
      Table.applySnapshot(Late, {1, 50});
      Table.applyContent({{1, 60}, false, Late});
      CHECK(Table.includes({{1, 60}, 0}));
      CHECK(Table.status().Position == store_position{2, 30});
      CHECK(Table.contentAfter({}).Rows == Again);
    }
    SUBCASE("and serves its full table to one that has that of before") {
      const table_content Content = Table.contentAfter({1, 44});
      CHECK_FALSE(Content.ChangesOnly);
      CHECK(Content.Position == store_position{2, 30});
    }
    SUBCASE("and that of a second copy") {
      Table.applySnapshot({row("a", "old", 5)}, {3, 15});
      CHECK(Restores == 2);
      CHECK(Table.contentAfter({}).Rows.at(0).Value == "old");
    }
  }
  SUBCASE("takes no changes of the new era before it has the full table") {
    CHECK(Table.applyChanges(Again, {2, 30}).empty());
    Table.applyForwarded(Again, 2);
    CHECK(Table.status().Position == store_position{1, 44});
    // Not even one with equal content is known to have no later changes.
    CHECK_FALSE(Table.includes({{2, 30}, Table.status().Digest}));
  }
}

TEST_CASE("Replicas of a store that is restored at random moments") {
  // NOLINTNEXTLINE(cert-msc32-c,cert-msc51-cpp): the story must repeat.
  std::mt19937 Random(11);
  const auto Below = [&](uint32_t Bound) {
    return static_cast<uint32_t>(Random()) % Bound;
  };
  struct store {
    std::map<std::string, stored_row> Rows;
    store_position Position{1, 1};

    std::vector<stored_row> all() const {
      std::vector<stored_row> All;
      for (const auto &[Key, Row] : Rows)
        All.push_back(Row);
      return All;
    }
  };
  struct message {
    stored_row Row;
    uint64_t Era;
  };
  for (int Story = 0; Story < 200; ++Story) {
    store Store;
    store Copy = Store;
    shared_table Reader = makeTable();
    shared_table Other = makeTable();
    Reader.applySnapshot({}, Store.Position);
    Other.applySnapshot({}, Store.Position);
    std::vector<message> OnTheWay;
    for (int Step = 0; Step < 120; ++Step) {
      if (Below(12) == 0)
        Copy = Store;
      if (Below(25) == 0) {
        Copy.Position.Era = Store.Position.Era + 1;
        Store = Copy;
        if (Below(2) == 0)
          Reader.applySnapshot(Store.all(), Store.Position);
      }
      const std::string Key(1, static_cast<char>('a' + Below(4)));
      const stored_row Change =
          row(Key, "v" + std::to_string(Step) + "#", ++Store.Position.Version);
      Store.Rows[Key] = Change;
      // A reader that did not notice the restore gets rows of the new era after
      // its own version.
      if (Reader.status().Position.Era != Store.Position.Era)
        Reader.applySnapshot(Store.all(), Store.Position);
      for (const stored_row &Row :
           Reader.applyChanges({&Change, 1}, Store.Position))
        OnTheWay.push_back({Row, Store.Position.Era});
      std::shuffle(OnTheWay.begin(), OnTheWay.end(), Random);
      if (!OnTheWay.empty() && Below(2) == 0) {
        Other.applyForwarded({&OnTheWay.back().Row, 1}, OnTheWay.back().Era);
        if (Below(3) != 0)
          OnTheWay.pop_back();
      }
      if (Below(8) == 0 && !Other.includes(Reader.status()))
        Other.applyContent(Reader.contentAfter(Other.status().Position));
      REQUIRE(Other.status().Position.Era <= Store.Position.Era);
      if (Other.includes(Reader.status()))
        REQUIRE(Other.contentAfter({}).Rows == Reader.contentAfter({}).Rows);
    }
    Other.applyContent(Reader.contentAfter(Other.status().Position));
    REQUIRE(Other.contentAfter({}).Rows == Store.all());
  }
}
