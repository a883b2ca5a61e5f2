#include "Placement/TargetRegistry.h"

#include <set>
#include <vector>

#include <doctest/doctest.h>

using namespace magnolia::placement;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_CASE("The target registry") {
  constexpr auto Uninterrupted = store_availability::Uninterrupted;
  constexpr auto Interrupted = store_availability::Interrupted;
  std::vector<std::string> Removed;
  int Changes = 0;
  bool LastDraining = false;
  target_registry Registry(
      {.ExpiryGrace = milliseconds(2300), .DeadEntryLifetime = seconds(6)},
      {[&](const target_entry &Entry) {
         ++Changes;
         LastDraining = Entry.Draining;
       },
       [&](const std::string &Id) { Removed.push_back(Id); }});
  boot_time Now(seconds(10));
  target_entry Entry;
  Entry.Id = "a";
  Entry.StartedUnixMs = 1000;
  Entry.Sequence = 5;
  Registry.put(Entry);

  SUBCASE("drops a missing entry at once while the store is available") {
    Registry.remove("a", Uninterrupted, Now);
    CHECK(Removed == std::vector<std::string>{"a"});
    CHECK(Registry.size() == 0);
  }
  SUBCASE("keeps a missing entry after an outage of the store") {
    Registry.keepOnly({}, Interrupted, Now);
    CHECK(Registry.contains("a"));

    SUBCASE("until the grace time ends") {
      Registry.advance(Interrupted, Now + milliseconds(2200));
      CHECK(Registry.contains("a"));
      Registry.advance(Interrupted, Now + milliseconds(2300));
      CHECK_FALSE(Registry.contains("a"));
    }
    SUBCASE("permanently when it returns") {
      Entry.Sequence = 6;
      Registry.put(Entry);
      Registry.advance(Interrupted, Now + seconds(10));
      CHECK(Registry.contains("a"));
    }
    SUBCASE("but not when peers report that the store was available") {
      Registry.advance(Uninterrupted, Now + milliseconds(1));
      CHECK(Removed == std::vector<std::string>{"a"});
    }
  }
  SUBCASE("does not keep an entry that was draining") {
    Entry.Sequence = 6;
    Entry.Draining = true;
    Registry.put(Entry);
    Registry.remove("a", Interrupted, Now);
    CHECK(Removed == std::vector<std::string>{"a"});
  }
  SUBCASE("ignores an older report of the same incarnation") {
    Entry.Sequence = 6;
    Entry.Draining = true;
    Registry.put(Entry);
    Entry.Sequence = 5;
    Entry.Draining = false;
    Registry.put(Entry);
    CHECK(Changes == 2);
    CHECK(LastDraining);
  }
  SUBCASE("ignores a report of an earlier incarnation") {
    Entry.StartedUnixMs = 999;
    Entry.Sequence = 50;
    Registry.put(Entry);
    CHECK(Changes == 1);
    Entry.StartedUnixMs = 1001;
    Entry.Sequence = 1;
    Registry.put(Entry);
    CHECK(Changes == 2);
  }

  const std::string Known = Entry.Id;
  const std::vector<std::string> Listed = {Known};
  const auto Restore = [&] {
    Registry.beginRestored(Now);
    Registry.put(Entry);
    Registry.keepOnly(Listed, Interrupted, Now);
  };

  SUBCASE("uses no target that was removed before the store was restored") {
    Registry.remove("a", Uninterrupted, Now);
    Restore();
    CHECK_FALSE(Registry.contains("a"));

    SUBCASE("also not when the same entry is read once more") {
      Registry.put(Entry);
      Registry.keepOnly(Listed, Interrupted, Now);
      CHECK_FALSE(Registry.contains("a"));
    }
    SUBCASE("until it reports again") {
      ++Entry.Sequence;
      Registry.put(Entry);
      CHECK(Registry.contains("a"));
    }
    SUBCASE("or starts anew") {
      Entry.StartedUnixMs = 2000;
      Entry.Sequence = 1;
      Registry.put(Entry);
      CHECK(Registry.contains("a"));
    }
    SUBCASE("or its entry outlives that of a dead target") {
      Registry.advance(Uninterrupted, Now + milliseconds(5900));
      CHECK_FALSE(Registry.contains("a"));
      Registry.advance(Uninterrupted, Now + seconds(6));
      CHECK(Registry.contains("a"));
    }
    SUBCASE("and forgets it when its entry is removed again") {
      Registry.remove("a", Uninterrupted, Now);
      Registry.advance(Uninterrupted, Now + seconds(7));
      CHECK_FALSE(Registry.contains("a"));
    }
  }
  SUBCASE("uses a removed target that reports again in the same era") {
    Registry.remove("a", Uninterrupted, Now);
    Registry.put(Entry);
    CHECK(Registry.contains("a"));
  }
  SUBCASE("keeps the state of a target that a restored store has older") {
    Entry.Sequence = 6;
    Entry.Draining = true;
    Registry.put(Entry);
    Entry.Sequence = 5;
    Entry.Draining = false;
    Restore();
    CHECK(LastDraining);
  }
  SUBCASE("gives missing targets the grace time anew at a second restore") {
    Registry.keepOnly({}, Interrupted, Now);
    Now += seconds(2);
    Registry.beginRestored(Now);
    Registry.keepOnly({}, Interrupted, Now);
    Registry.advance(Interrupted, Now + milliseconds(2200));
    CHECK(Registry.contains("a"));
    Registry.advance(Interrupted, Now + milliseconds(2300));
    CHECK_FALSE(Registry.contains("a"));
  }
}

TEST_CASE("A target's report matters to requests") {
  target_entry Entry;
  Entry.Id = "a";
  Entry.WarmupLeft = milliseconds(3900);
  const uint64_t Hash = identityHash(Entry);

  SUBCASE("not by its sequence alone, or a little less time until it is warm") {
    Entry.Sequence = 9;
    Entry.WarmupLeft = milliseconds(2100);
    CHECK(identityHash(Entry) == Hash);
  }
  SUBCASE("when it is nearly warm, or warm") {
    Entry.WarmupLeft = milliseconds(900);
    CHECK(identityHash(Entry) != Hash);
    const uint64_t NearlyWarm = identityHash(Entry);
    Entry.WarmupLeft = milliseconds(0);
    CHECK(identityHash(Entry) != NearlyWarm);
  }
  SUBCASE("when it is cold for longer than it counted as before") {
    Entry.WarmupLeft = milliseconds(4001);
    CHECK(identityHash(Entry) != Hash);
    CHECK(countedWarmup(milliseconds(2100)) == milliseconds(4000));
    CHECK(countedWarmup(milliseconds(4000)) == milliseconds(4000));
    CHECK(countedWarmup(std::chrono::hours(24)) >= std::chrono::hours(24));
  }
}
