#include "Fleet/SharedTable.h"

#include <algorithm>
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

shared_table makeTable() {
  return shared_table({[](const std::vector<stored_row> &) {},
                       [](const stored_row &) {}, hashOfContent});
}

} // namespace

TEST_CASE("An instance's replica of a table") {
  std::vector<stored_row> Seen;
  size_t Snapshots = 0;
  shared_table Table({[&](const std::vector<stored_row> &) { ++Snapshots; },
                      [&](const stored_row &Row) { Seen.push_back(Row); },
                      hashOfContent});

  SUBCASE("applies no changes of peers before it has content") {
    const std::vector<stored_row> Rows = {row("a", "v", 5)};
    Table.applyForwarded(Rows);
    CHECK(Seen.empty());
    CHECK_FALSE(Table.includes({9, Table.status().Digest}));
  }

  Table.applySnapshot({row("a", "v#1", 5), row("b", "v#1", 8)}, 10);
  CHECK(Snapshots == 1);
  CHECK(Table.status().Version == 10);

  SUBCASE("applies changes from the store and from peers") {
    const std::vector<stored_row> First = {row("c", "v", 12)};
    CHECK(Table.applyChanges(First, 14) == First);
    const std::vector<stored_row> Second = {removal("a", 16)};
    Table.applyForwarded(Second);
    CHECK(Seen.size() == 2);
    CHECK(Table.size() == 2);

    SUBCASE("each once") {
      Table.applyForwarded(Second);
      CHECK(Table.applyChanges(Second, 17).empty());
      CHECK(Seen.size() == 2);
    }
    SUBCASE("and none that a later one has undone") {
      const std::vector<stored_row> Late = {row("a", "w", 15)};
      Table.applyForwarded(Late);
      CHECK(Table.size() == 2);
      CHECK(Seen.size() == 2);
    }
    SUBCASE("and no snapshot that is older than its content") {
      Table.applySnapshot({row("a", "v", 5)}, 11);
      CHECK(Table.size() == 2);
      CHECK(Snapshots == 1);
    }
    SUBCASE("and keeps those that are later than a snapshot") {
      Table.applySnapshot(
          {row("a", "v", 5), row("b", "v", 8), row("c", "v", 12)}, 15);
      CHECK(Table.size() == 2);
      const std::vector<stored_row> Returned = {row("a", "v", 18)};
      Table.applyForwarded(Returned);
      CHECK(Table.size() == 3);
    }
  }
  SUBCASE("passes on no renewals") {
    const std::vector<stored_row> Renewals = {row("a", "v#2", 11),
                                              row("b", "v#2", 12)};
    const table_status Before = Table.status();
    CHECK(Table.applyChanges(Renewals, 12).empty());
    CHECK(Seen.size() == 2);
    CHECK(Table.status().Digest == Before.Digest);
    CHECK(Table.status().Version == 12);
    const std::vector<stored_row> Change = {row("a", "w#3", 13)};
    CHECK(Table.applyChanges(Change, 13) == Change);
    CHECK(Table.status().Digest != Before.Digest);
  }
}

TEST_CASE("Two replicas, one of which hears of changes through the other") {
  shared_table Reader = makeTable();
  shared_table Other = makeTable();
  const std::vector<stored_row> Start = {row("a", "v#1", 5),
                                         row("b", "v#1", 8)};
  Reader.applySnapshot(Start, 10);
  Other.applySnapshot(Start, 10);

  SUBCASE("agree while rows are only renewed") {
    const std::vector<stored_row> Renewals = {row("a", "v#2", 11)};
    Reader.applyChanges(Renewals, 30);
    CHECK(Other.includes(Reader.status()));
    CHECK(Other.status() == Reader.status());
  }
  SUBCASE("agree again once the changes arrived, in any order") {
    const std::vector<stored_row> One = {row("c", "v", 12)};
    const std::vector<stored_row> Two = {removal("a", 14)};
    Reader.applyChanges(One, 13);
    Reader.applyChanges(Two, 20);
    CHECK_FALSE(Other.includes(Reader.status()));
    Other.applyForwarded(Two);
    CHECK_FALSE(Other.includes(Reader.status()));
    Other.applyForwarded(One);
    CHECK(Other.includes(Reader.status()));
    CHECK(Other.status() == Reader.status());
  }
  SUBCASE("show a lost change, which can be fetched without the rest") {
    const std::vector<stored_row> Lost = {removal("b", 12)};
    Reader.applyChanges(Lost, 15);
    CHECK_FALSE(Other.includes(Reader.status()));
    const table_content Missing = Reader.contentAfter(Other.status().Version);
    CHECK(Missing.ChangesOnly);
    CHECK(Missing.Rows == Lost);
    Other.applyContent(Missing);
    CHECK(Other.includes(Reader.status()));
  }
  SUBCASE("do not need the status of one that knows less") {
    const std::vector<stored_row> Change = {row("c", "v", 12)};
    Reader.applyChanges(Change, 12);
    CHECK(Reader.includes(Other.status()));
  }
  SUBCASE("find a change that was undone meanwhile") {
    const std::vector<stored_row> There = {row("a", "w", 12)};
    Reader.applyChanges(There, 12);
    Other.applyForwarded(There);
    const std::vector<stored_row> Back = {row("a", "v", 13)};
    Reader.applyChanges(Back, 13);
    CHECK_FALSE(Other.includes(Reader.status()));
    Other.applyContent(Reader.contentAfter(Other.status().Version));
    CHECK(Other.status() == Reader.status());
  }
  SUBCASE("find what changed while the store lost its history") {
    Reader.applySnapshot({row("a", "v#7", 40), row("d", "v", 44)}, 50);
    CHECK_FALSE(Other.includes(Reader.status()));
    const table_content Missing = Reader.contentAfter(Other.status().Version);
    CHECK(Missing.ChangesOnly);
    CHECK(Missing.Rows.size() == 2);
    Other.applyContent(Missing);
    CHECK(Other.status() == Reader.status());
  }
  SUBCASE("exchange the full table when the first has started later") {
    shared_table Fresh = makeTable();
    Fresh.applySnapshot({row("a", "v#9", 60)}, 70);
    CHECK_FALSE(Other.includes(Fresh.status()));
    const table_content Missing = Fresh.contentAfter(Other.status().Version);
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
    Reader.applySnapshot({}, 1);
    Other.applySnapshot({}, 1);
    std::vector<stored_row> OnTheWay;
    for (uint64_t Version = 2; Version < 80; ++Version) {
      const std::string Key(1, static_cast<char>('a' + Below(5)));
      const stored_row Change =
          Below(4) == 0
              ? removal(Key, Version)
              : row(Key, "v" + std::to_string(Below(3)) + "#", Version);
      for (const stored_row &Row : Reader.applyChanges({&Change, 1}, Version))
        OnTheWay.push_back(Row);
      std::shuffle(OnTheWay.begin(), OnTheWay.end(), Random);
      // One arrives, one arrives and stays on its way, one is lost.
      if (!OnTheWay.empty() && Below(2) == 0) {
        if (Below(4) != 0)
          Other.applyForwarded({&OnTheWay.back(), 1});
        if (Below(3) != 0)
          OnTheWay.pop_back();
      }
      if (Below(10) == 0 && !Other.includes(Reader.status())) {
        Other.applyContent(Reader.contentAfter(Other.status().Version));
        REQUIRE(Other.status() == Reader.status());
      }
      // Equal statuses promise equal content.
      if (Other.includes(Reader.status()))
        REQUIRE(Other.contentAfter(0).Rows.size() ==
                Reader.contentAfter(0).Rows.size());
    }
  }
}
