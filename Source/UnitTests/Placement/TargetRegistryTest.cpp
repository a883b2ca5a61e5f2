#include "Placement/TargetRegistry.h"

#include <set>
#include <vector>

#include <doctest/doctest.h>

using namespace magnolia::placement;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_CASE("The roster of targets") {
  constexpr auto Uninterrupted = store_availability::Uninterrupted;
  constexpr auto Interrupted = store_availability::Interrupted;
  std::vector<std::string> Removed;
  int Changes = 0;
  bool LastDraining = false;
  target_registry Registry(milliseconds(2300), {[&](const target_entry &Entry) {
                                                  ++Changes;
                                                  LastDraining = Entry.Draining;
                                                },
                                                [&](const std::string &Id) {
                                                  Removed.push_back(Id);
                                                }});
  boot_time Now(seconds(10));
  target_entry Entry;
  Entry.Id = "a";
  Entry.StartedUnixMs = 1000;
  Entry.Sequence = 5;
  Registry.put(Entry);

  SUBCASE("drops a missing entry at once while the store is steady") {
    Registry.remove("a", Uninterrupted, Now);
    CHECK(Removed == std::vector<std::string>{"a"});
    CHECK(Registry.size() == 0);
  }
  SUBCASE("keeps one that is missing after the store was away") {
    Registry.keepOnly({}, Interrupted, Now);
    CHECK(Registry.contains("a"));

    SUBCASE("until the grace time is over") {
      Registry.advance(Interrupted, Now + milliseconds(2200));
      CHECK(Registry.contains("a"));
      Registry.advance(Interrupted, Now + milliseconds(2300));
      CHECK_FALSE(Registry.contains("a"));
    }
    SUBCASE("for good when it comes back") {
      Entry.Sequence = 6;
      Registry.put(Entry);
      Registry.advance(Interrupted, Now + seconds(10));
      CHECK(Registry.contains("a"));
    }
    SUBCASE("and no longer when peers saw the store all the while") {
      Registry.advance(Uninterrupted, Now + milliseconds(1));
      CHECK(Removed == std::vector<std::string>{"a"});
    }
  }
  SUBCASE("does not keep one that was leaving") {
    Entry.Sequence = 6;
    Entry.Draining = true;
    Registry.put(Entry);
    Registry.remove("a", Interrupted, Now);
    CHECK(Removed == std::vector<std::string>{"a"});
  }
  SUBCASE("takes no older report of the same incarnation") {
    Entry.Sequence = 6;
    Entry.Draining = true;
    Registry.put(Entry);
    Entry.Sequence = 5;
    Entry.Draining = false;
    Registry.put(Entry);
    CHECK(Changes == 2);
    CHECK(LastDraining);
  }
  SUBCASE("takes no report of an earlier incarnation") {
    Entry.StartedUnixMs = 999;
    Entry.Sequence = 50;
    Registry.put(Entry);
    CHECK(Changes == 1);
    Entry.StartedUnixMs = 1001;
    Entry.Sequence = 1;
    Registry.put(Entry);
    CHECK(Changes == 2);
  }
}
