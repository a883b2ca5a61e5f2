#include "Placement/LossFilter.h"

#include <doctest/doctest.h>

using namespace magnolia::placement;
using std::chrono::seconds;

TEST_CASE("Connections that are lost in one moment") {
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

  SUBCASE("show that a target fails when it is one") {
    CHECK(Filter.add(LossAt("a")));
    CHECK_FALSE(Filter.add(LossAt("a")));
    CHECK_FALSE(Filter.add(LossAt("a")));
    CHECK(Filter.take(0).size() == 3);
  }
  SUBCASE("show that targets fail when they are two") {
    Filter.add(LossAt("a"));
    Filter.add(LossAt("b"));
    CHECK(Filter.take(0).size() == 2);
  }
  SUBCASE("show nothing of the targets when they are many of those in use") {
    for (const char *Id : {"a", "b", "c"})
      Filter.add(LossAt(Id));
    CHECK(Filter.take(4).empty());

    SUBCASE("and nothing is left of them for the next moment") {
      CHECK(Filter.add(LossAt("a")));
      CHECK(Filter.take(4).size() == 1);
    }
  }
  SUBCASE("show that targets fail when most of those in use go on") {
    for (const char *Id : {"a", "b", "c"})
      Filter.add(LossAt(Id));
    CHECK(Filter.take(20).size() == 3);
  }
}
