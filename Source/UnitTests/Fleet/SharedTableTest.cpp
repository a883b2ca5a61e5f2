#include "Fleet/SharedTable.h"

#include <doctest/doctest.h>

using namespace magnolia::fleet;

TEST_CASE("An instance's replica of a table") {
  std::vector<stored_row> Seen;
  size_t Snapshots = 0;
  shared_table Table({[&](const std::vector<stored_row> &) { ++Snapshots; },
                      [&](const stored_row &Row) { Seen.push_back(Row); }});
  const auto Row = [](std::string Key, uint64_t Version) {
    return stored_row{std::move(Key), "v", Version, false};
  };

  SUBCASE("applies no changes of peers before it has content") {
    const std::vector<stored_row> Rows = {Row("a", 5)};
    CHECK(Table.applyRelayed(0, Rows) == relay_result::Gap);
    CHECK(Seen.empty());
  }

  Table.applySnapshot({Row("a", 5), Row("b", 8)}, 10);
  CHECK(Snapshots == 1);
  CHECK(Table.lastChange() == 8);
  CHECK(Table.knownThrough() == 10);

  SUBCASE("applies changes from the store and from peers") {
    const std::vector<stored_row> First = {Row("c", 12)};
    CHECK(Table.applyChanges(First, 14) == First);
    const std::vector<stored_row> Second = {{"a", "", 16, true}};
    CHECK(Table.applyRelayed(12, Second) == relay_result::Applied);
    CHECK(Seen.size() == 2);
    CHECK(Table.rows().size() == 2);
    CHECK(Table.knownThrough() == 16);

    SUBCASE("each once") {
      CHECK(Table.applyRelayed(12, Second) == relay_result::Known);
      CHECK(Table.applyChanges(Second, 17).empty());
      CHECK(Seen.size() == 2);
    }
    SUBCASE("and no snapshot that is older than its content") {
      Table.applySnapshot({Row("a", 5)}, 11);
      CHECK(Table.rows().size() == 2);
      CHECK(Snapshots == 1);
    }
  }
  SUBCASE("does not skip missing changes") {
    const std::vector<stored_row> Later = {Row("c", 20)};
    CHECK(Table.applyRelayed(15, Later) == relay_result::Gap);
    CHECK(Table.knownThrough() == 10);
    Table.applySnapshot({Row("b", 8), Row("c", 20)}, 20);
    CHECK(Table.rows().size() == 2);
    CHECK(Table.applyRelayed(15, Later) == relay_result::Known);
  }
}
