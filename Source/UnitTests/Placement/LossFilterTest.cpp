#include "Placement/LossFilter.h"

#include <doctest/doctest.h>

using namespace magnolia::placement;
using std::chrono::seconds;

TEST_CASE("Connections that are lost at the same time") {
  const boot_time Now(seconds(100));
  target_set Targets(placement_settings(), "Trnava");
  const auto LossAt = [&](const std::string &Id) {
    if (!Targets.find(Id)) {
      target_entry Entry;
      Entry.Id = Id;
      Entry.Service = "orders";
      Targets.put(Entry, Now);
    }
    return lost_connection{"request", Targets.find(Id), Now};
  };
  loss_filter Filter((loss_settings()));

  SUBCASE("are evidence when they are of one target") {
    CHECK(Filter.add(LossAt("a")));
    CHECK_FALSE(Filter.add(LossAt("a")));
    CHECK_FALSE(Filter.add(LossAt("a")));
    CHECK(Filter.take(0).size() == 3);
  }
  SUBCASE("are evidence when they are of two targets") {
    Filter.add(LossAt("a"));
    Filter.add(LossAt("b"));
    CHECK(Filter.take(0).size() == 2);
  }
  SUBCASE("are no evidence when they are of many targets in use") {
    for (const char *Id : {"a", "b", "c"})
      Filter.add(LossAt(Id));
    CHECK(Filter.take(4).empty());

    SUBCASE("and are not counted in the next window") {
      CHECK(Filter.add(LossAt("a")));
      CHECK(Filter.take(4).size() == 1);
    }
  }
  SUBCASE("are evidence when most targets in use have no loss") {
    for (const char *Id : {"a", "b", "c"})
      Filter.add(LossAt(Id));
    CHECK(Filter.take(20).size() == 3);
  }
}
