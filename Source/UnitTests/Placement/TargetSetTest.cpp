#include "Placement/TargetSet.h"

#include <algorithm>
#include <map>
#include <random>

#include <doctest/doctest.h>

using namespace magnolia::placement;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

target_entry entryOf(std::string Id, std::string Domain) {
  target_entry Entry;
  Entry.Id = std::move(Id);
  Entry.Service = "orders";
  Entry.Address = "10.0.0.1:80";
  Entry.FailureDomain = std::move(Domain);
  Entry.Capacity = 6;
  Entry.StartedUnixMs = 1;
  return Entry;
}

} // namespace

TEST_CASE("A target set chooses the target of a request") {
  const placement_settings Settings;
  std::mt19937_64 Random(3);
  boot_time Now(seconds(100));
  target_set Targets(Settings, "Trnava");
  for (const char *Id : {"a", "b", "c", "d"})
    Targets.put(entryOf(Id, "Trnava"), Now);
  placement_query Query;
  Query.Service = "orders";
  const auto Draw = [&](int Count) {
    std::map<std::string, int> Drawn;
    for (int Index = 0; Index < Count; ++Index)
      if (const auto Target = Targets.choose(Query, Now, Random))
        ++Drawn[Target->Entry.Id];
    return Drawn;
  };
  const auto Succeed = [&](const std::string &Id) {
    Targets.observe(*Targets.find(Id), evidence::Succeeded, Now, Now);
  };

  SUBCASE("none if the service has none") {
    Query.Service = "fitting";
    CHECK(Targets.choose(Query, Now, Random) == nullptr);
  }
  SUBCASE("none that is draining, removed or was tried") {
    target_entry Draining = entryOf("a", "Trnava");
    Draining.Draining = true;
    Targets.put(Draining, Now);
    Targets.remove("b");
    const std::vector<target_key> Tried = {Targets.find("c")->Key};
    Query.Tried = Tried;
    CHECK(Draw(50) == std::map<std::string, int>{{"d", 50}});
  }
  SUBCASE("none in an evacuated failure domain, also for a probe") {
    Targets.put(entryOf("e", "Nitra"), Now);
    for (const char *Id : {"a", "b", "c", "d", "e"})
      Succeed(Id);
    Targets.setEvacuated({"Trnava"});
    Targets.put(entryOf("f", "Trnava"), Now);
    // Only a probe goes to a target in another failure domain that is due.
    Now += seconds(3);
    Query.ProbingRate = 1;
    CHECK(Draw(50) == std::map<std::string, int>{{"e", 50}});
    CHECK(Targets.roomOf("orders", Now).Slots == 6);
    CHECK_FALSE(Targets.isEvacuated("orders"));
    CHECK_FALSE(Targets.isEvacuated("fitting"));

    SUBCASE("if all are, it knows that") {
      Targets.setEvacuated({"Trnava", "Nitra"});
      CHECK(Draw(1).empty());
      CHECK(Targets.isEvacuated("orders"));
    }
    SUBCASE("until the evacuation ends") {
      Targets.setEvacuated({});
      CHECK(Draw(200).size() > 4);
    }
  }
  SUBCASE("only in the failure domains that the request may reach") {
    Targets.put(entryOf("e", "Nitra"), Now);
    Now += seconds(3);
    Query.ProbingRate = 1;
    const domain_filter Nitra({"Nitra"});
    const domain_filter Senica({"Senica"});
    Query.Domains = &Nitra;
    CHECK(Draw(50) == std::map<std::string, int>{{"e", 50}});
    CHECK_FALSE(Targets.isOutside("orders", Nitra));
    Query.Domains = &Senica;
    CHECK(Draw(50).empty());
    CHECK(Targets.isOutside("orders", Senica));
    Targets.setEvacuated({"Nitra"});
    CHECK(Targets.isEvacuated("orders", Nitra));
    CHECK_FALSE(Targets.isEvacuated("orders", Senica));
    target_set::pause(*Targets.find("e"), seconds(1), Now);
    CHECK_FALSE(Targets.pausedUntil("orders", Now, Nitra).has_value());
    Targets.setEvacuated({});
    CHECK(Targets.pausedUntil("orders", Now, Nitra) == Now + seconds(1));
  }
  SUBCASE("and knows how much room the service has") {
    for (const char *Id : {"a", "b", "c", "d"})
      Succeed(Id);
    CHECK(Targets.roomOf("fitting", Now).Slots == 0);
    CHECK_FALSE(Targets.roomOf("fitting", Now).isUsedUp());
    CHECK(Targets.roomOf("orders", Now).Slots == 24);
    Targets.find("a")->OwnInFlight = 9;
    const std::vector<target_set::in_flight> AtPeer = {
        {Targets.find("b")->Key, 4}};
    Targets.setPeerInFlight(7, AtPeer, Now);
    CHECK(Targets.roomOf("orders", Now).FreeSlots == 14);
    Targets.observe(*Targets.find("c"), evidence::Broken, Now, Now);
    target_set::pause(*Targets.find("d"), seconds(1), Now);
    CHECK(Targets.roomOf("orders", Now).Slots == 12);
    CHECK(Targets.roomOf("orders", Now).FreeSlots == 2);
  }
  SUBCASE("rarely one that is cold, from when its entry says so") {
    const target &Cold = *Targets.find("a");
    target_entry Entry = entryOf("a", "Trnava");
    Entry.Sequence = 2;
    Entry.WarmupLeft = seconds(2);
    Now += seconds(10);
    Targets.put(Entry, Now);
    const int Drawn = Draw(400)["a"];
    CHECK(Drawn > 0);
    CHECK(Drawn < 80);

    SUBCASE("for as long as it says") {
      Now += milliseconds(500);
      Targets.put(Entry, Now);
      CHECK(Cold.coldFor(Now) == milliseconds(1500));
      Now += milliseconds(1500);
      CHECK(Cold.coldFor(Now) == milliseconds(0));
      CHECK(Draw(400)["a"] > 70);
    }
    SUBCASE("and is limited for what its reports may leave unsaid, too") {
      Entry.Sequence = 3;
      Entry.WarmupLeft = milliseconds(2100);
      Targets.put(Entry, Now);
      CHECK(Cold.coldFor(Now) == milliseconds(2100));
      CHECK(Cold.limitedFor(Now) == seconds(4));
    }
    SUBCASE("until a later report says that it is warm") {
      Entry.Sequence = 3;
      Entry.WarmupLeft = seconds(0);
      Targets.put(Entry, Now);
      CHECK(Cold.coldFor(Now) == seconds(0));
    }
    SUBCASE("also while its responses alone say so") {
      Targets.find("a")->SaidWarmFrom = Now + seconds(7);
      CHECK(Cold.coldFor(Now) == seconds(7));
      Targets.find("a")->SaidWarmFrom = Now;
      CHECK(Cold.coldFor(Now) == seconds(2));
    }
    SUBCASE("and not in its next incarnation") {
      Entry.StartedUnixMs = 2;
      Entry.WarmupLeft = seconds(0);
      Targets.put(Entry, Now);
      CHECK(Targets.find("a")->coldFor(Now) == seconds(0));
    }
  }
  SUBCASE("as a probe one that few instances send to as often as another") {
    Targets.put(entryOf("x", "Nitra"), Now);
    Now += seconds(3);
    for (const char *Id : {"a", "b", "c", "d"})
      Targets.find(Id)->LastUsed = Now;
    Query.ProbingRate = 100;
    const int AmongAll = Draw(1000)["x"];
    CHECK(AmongAll > 5);
    CHECK(AmongAll < 60);
    Targets.find("x")->SenderFraction = 0.1;
    const int AmongFew = Draw(1000)["x"];
    CHECK(AmongFew > 180);
    CHECK(AmongFew < 320);
  }
  SUBCASE("not one that has just failed") {
    for (const char *Id : {"a", "b", "c", "d"})
      Succeed(Id);
    Targets.observe(*Targets.find("a"), evidence::Broken, Now, Now);
    CHECK(Draw(200)["a"] == 0);

    SUBCASE("also when a peer reported it") {
      Targets.observePeer(Targets.find("b")->Key, evidence::Broken, Now, Now);
      CHECK(Draw(200)["b"] == 0);
    }
  }
  SUBCASE("rather one with a recent success than one without") {
    for (const char *Id : {"a", "b", "c", "d"})
      Succeed(Id);
    Now += seconds(12);
    Succeed("c");
    Succeed("c");
    CHECK(Draw(200)["c"] > 180);
  }
  SUBCASE("without concentrating on the most recent of several successes") {
    for (const char *Id : {"a", "b", "c", "d"}) {
      Succeed(Id);
      Now += milliseconds(800);
    }
    auto Drawn = Draw(400);
    for (const char *Id : {"a", "b", "c", "d"})
      CHECK(Drawn[Id] > 20);
  }
  SUBCASE("with less load on one whose slots are in use") {
    for (const char *Id : {"a", "b", "c", "d"})
      Succeed(Id);
    Now += seconds(6);
    Succeed("c");
    Targets.find("c")->OwnInFlight = 6;
    CHECK(Draw(200)["c"] < 40);
  }
  SUBCASE("counting requests of peers until their next report") {
    for (const char *Id : {"a", "b", "c", "d"})
      Succeed(Id);
    const std::vector<target_set::in_flight> Counts = {
        {Targets.find("a")->Key, 9}};
    Targets.setPeerInFlight(77, Counts, Now);
    CHECK(Draw(200)["a"] == 0);
    Targets.setPeerInFlight(77, {}, Now);
    CHECK(Draw(200)["a"] > 20);
  }
  SUBCASE("and knows where requests queue, including those of peers") {
    const auto Target = Targets.find("a");
    Target->OwnInFlight = 2;
    CHECK_FALSE(Targets.isOverCapacity(*Target, Now));
    const std::vector<target_set::in_flight> Counts = {{Target->Key, 5}};
    Targets.setPeerInFlight(77, Counts, Now);
    CHECK(Targets.isOverCapacity(*Target, Now));
  }
  SUBCASE(
      "one without evidence at once, but only until a request is in flight") {
    for (const char *Id : {"a", "b", "c", "d"})
      Succeed(Id);
    Targets.put(entryOf("e", "Trnava"), Now);
    CHECK(Draw(200)["e"] > 10);
    Targets.find("e")->OwnInFlight = 1;
    CHECK(Draw(200)["e"] < 10);
  }
  SUBCASE("in its own failure domain at equal risk") {
    Targets.put(entryOf("far", "Nitra"), Now);
    for (const char *Id : {"a", "b", "c", "d", "far"})
      Succeed(Id);
    CHECK(Draw(500)["far"] < 60);
  }
  SUBCASE(
      "in its own failure domain also when another has slightly less risk") {
    // The two targets of the other domain succeeded most recently, those of
    // this domain a second ago.
    for (const char *Id : {"far", "farther"}) {
      Targets.put(entryOf(Id, "Nitra"), Now);
      Succeed(Id);
    }
    for (const char *Id : {"a", "b", "c", "d"})
      Targets.observe(*Targets.find(Id), evidence::Succeeded, Now - seconds(1),
                      Now - seconds(1));
    const auto Drawn = Draw(500);
    CHECK(Drawn.at("a") + Drawn.at("b") + Drawn.at("c") + Drawn.at("d") > 450);

    SUBCASE("but not when all targets there have just failed") {
      for (const char *Id : {"a", "b", "c", "d"})
        Targets.observe(*Targets.find(Id), evidence::Broken, Now, Now);
      auto After = Draw(500);
      CHECK(After["far"] + After["farther"] > 450);
    }
  }
  SUBCASE("without reporting a lost path as a failure of the target") {
    for (const char *Id : {"a", "b", "c", "d"})
      Succeed(Id);
    const auto Target = Targets.find("a");
    const double Fleet = Target->Fleet.probabilityAt(Now);
    Targets.observe(*Target, evidence::Unreachable, Now, Now);
    CHECK(Target->Fleet.probabilityAt(Now) == Fleet);
    CHECK(Draw(200)["a"] == 0);
    Targets.observePeer(Targets.find("b")->Key, evidence::Unreachable, Now,
                        Now);
    CHECK(Draw(200)["b"] > 20);
  }
  SUBCASE("without old evidence when an id returns as a new incarnation") {
    Targets.observe(*Targets.find("a"), evidence::Broken, Now, Now);
    target_entry Again = entryOf("a", "Trnava");
    Again.StartedUnixMs = 2;
    Targets.put(Again, Now);
    CHECK(Targets.find("a")->Fleet.probabilityAt(Now) ==
          doctest::Approx(Settings.FleetEstimator.Prior));
    CHECK(Targets.sizeOf("orders") == 4);
  }
  SUBCASE("by the service of its current entry") {
    target_entry Moved = entryOf("a", "Trnava");
    Moved.Service = "fitting";
    Targets.put(Moved, Now);
    CHECK(Targets.sizeOf("orders") == 3);
    CHECK(Targets.sizeOf("fitting") == 1);
  }
  SUBCASE("an unused one of another domain only after the longer interval") {
    Targets.put(entryOf("far", "Nitra"), Now);
    for (const char *Id : {"a", "b", "c", "d", "far"}) {
      Succeed(Id);
      Targets.find(Id)->LastUsed = Now;
    }
    Query.ProbingRate = 40;
    const auto ProbesOfFar = [&] {
      int Count = 0;
      for (int Index = 0; Index < 400; ++Index) {
        for (const char *Id : {"a", "b", "c", "d"})
          Targets.find(Id)->LastUsed = Now;
        const auto Target = Targets.choose(Query, Now, Random);
        Count += Target->Entry.Id == "far" ? 1 : 0;
      }
      return Count;
    };
    Now += milliseconds(1500);
    CHECK(ProbesOfFar() < 8);
    Now += milliseconds(300);
    CHECK(ProbesOfFar() > 8);
  }
  SUBCASE("one that has failed, when repeatable requests can probe it") {
    for (const char *Id : {"a", "b", "c", "d"})
      Succeed(Id);
    Targets.find("b")->LastUsed = Now;
    Targets.observe(*Targets.find("b"), evidence::Broken, Now, Now);
    Query.ProbingRate = 40;
    const auto ProbesIn = [&](duration Length) {
      int Probes = 0;
      for (const boot_time End = Now + Length; Now < End;
           Now += milliseconds(25)) {
        const auto Target = Targets.choose(Query, Now, Random);
        Target->LastUsed = Now;
        if (Target->Entry.Id != "b")
          Succeed(Target->Entry.Id);
        else
          ++Probes;
      }
      return Probes;
    };
    Query.FailedFraction = 0.06;
    Query.Repeatable = true;
    Query.EarlyProbeRate = 10;

    SUBCASE("soon, so that no healthy target stays unused for two seconds") {
      CHECK(ProbesIn(milliseconds(1400)) == 0);
      CHECK(ProbesIn(milliseconds(1600)) > 0);
    }
    SUBCASE("sooner while a tenth of the requests fails") {
      Query.FailedFraction = 0.12;
      CHECK(ProbesIn(milliseconds(1800)) > 0);
    }
    SUBCASE("not while few requests fail") {
      Query.FailedFraction = 0.02;
      CHECK(ProbesIn(seconds(4)) == 0);
    }
    SUBCASE("not by requests that would be lost") {
      Query.Repeatable = false;
      CHECK(ProbesIn(seconds(4)) == 0);
    }
    SUBCASE("as soon when the failure is seen a second after the request") {
      Now += seconds(1);
      Targets.observe(*Targets.find("b"), evidence::Stalled, Now - seconds(1),
                      Now);
      CHECK(ProbesIn(milliseconds(400)) == 0);
      CHECK(ProbesIn(milliseconds(1600)) > 0);
    }
    SUBCASE("and again soon when it has responded to a probe") {
      // Some failures more, so that one response does not make it usable.
      for (int Count = 0; Count < 3; ++Count)
        Targets.observe(*Targets.find("b"), evidence::Broken, Now, Now);
      Now += seconds(2);
      Targets.find("b")->LastUsed = Now;
      Succeed("b");
      CHECK(ProbesIn(milliseconds(1100)) > 0);
    }
    SUBCASE("at the rate that its request allows over the fleet") {
      for (char Name = 'e'; Name <= 'u'; ++Name) {
        const std::string Id(1, Name);
        Targets.put(entryOf(Id, "Trnava"), Now);
        Targets.find(Id)->LastUsed = Now;
        Targets.observe(*Targets.find(Id), evidence::Broken, Now, Now);
      }
      Now += seconds(2);
      Query.EarlyProbeRate = 4;
      int Probes = 0;
      for (int Count = 0; Count < 400; ++Count)
        Probes +=
            Targets.choose(Query, Now, Random)->Fleet.probabilityAt(Now) > 0.5
                ? 1
                : 0;
      // Of the forty requests of a second four.
      CHECK(Probes > 20);
      CHECK(Probes < 60);
    }
    SUBCASE("not while the budget is left for other requests") {
      Query.EarlyProbeRate = 0;
      CHECK(ProbesIn(seconds(4)) == 0);
    }
    SUBCASE("not by a request that leaves probes to others") {
      Query.MayProbe = false;
      CHECK(ProbesIn(seconds(4)) == 0);
    }
  }
  SUBCASE("an unused one from time to time, as a probe") {
    for (const char *Id : {"a", "b", "c", "d"})
      Succeed(Id);
    Targets.observe(*Targets.find("b"), evidence::Broken, Now, Now);
    Now += seconds(5);
    Succeed("a");
    Query.ProbingRate = 40;
    Query.FailedFraction = 0.02;
    // One request every 25 ms, which matches the rate of 40 per second.
    const auto SendFor = [&](duration Length) {
      std::map<std::string, int> Drawn;
      for (const boot_time End = Now + Length; Now < End;
           Now += milliseconds(25)) {
        const auto Target = Targets.choose(Query, Now, Random);
        Target->LastUsed = Now;
        Targets.observe(*Target, evidence::Succeeded, Now, Now);
        ++Drawn[Target->Entry.Id];
      }
      return Drawn;
    };
    auto Drawn = SendFor(milliseconds(1500));
    CHECK(Drawn["c"] > 0);
    CHECK(Drawn["d"] > 0);

    SUBCASE("but not one that failed some seconds ago") {
      CHECK(Drawn["b"] == 0);
      CHECK(SendFor(seconds(4))["b"] == 0);
      CHECK(SendFor(milliseconds(2500))["b"] > 0);
    }
    SUBCASE("and sooner when gray targets have recovered sooner") {
      const std::vector<std::string> Failed = {"e", "f", "g", "h", "i",
                                               "j", "k", "l", "m"};
      for (const std::string &Id : Failed)
        Targets.put(entryOf(Id, "Trnava"), Now);
      const auto FailAll = [&] {
        for (const std::string &Id : Failed) {
          Succeed(Id);
          Targets.observe(*Targets.find(Id), evidence::Broken, Now, Now);
        }
      };
      const auto CountProbed = [&](duration Length) {
        auto Later = SendFor(Length);
        return std::count_if(Failed.begin(), Failed.end(),
                             [&](const auto &Id) { return Later[Id] > 0; });
      };
      FailAll();
      CHECK(CountProbed(milliseconds(8000)) == 0);
      Now += seconds(20);
      for (int Round = 0; Round < 3; ++Round) {
        FailAll();
        Now += seconds(6);
        for (const std::string &Id : Failed)
          Succeed(Id);
        Now += seconds(20);
      }
      FailAll();
      CHECK(CountProbed(milliseconds(3000)) == 0);
      CHECK(CountProbed(milliseconds(5000)) >= std::ssize(Failed) - 2);
    }
    SUBCASE("and early when many are excluded while many requests fail") {
      for (char Name = 'e'; Name <= 'u'; ++Name) {
        const std::string Id(1, Name);
        Targets.put(entryOf(Id, "Trnava"), Now);
        Targets.observe(*Targets.find(Id), evidence::Broken, Now, Now);
      }
      const auto CountProbed = [&](duration Length) {
        int Count = 0;
        for (const auto &[Id, Times] : SendFor(Length))
          Count += Id >= "e" ? 1 : 0;
        return Count;
      };
      Query.FailedFraction = 0.08;
      CHECK(CountProbed(seconds(4)) == 0);
      Query.FailedFraction = 0.2;
      CHECK(CountProbed(seconds(2)) >= 3);
    }
    SUBCASE("also when one of its many responses was a failure") {
      for (int Count = 0; Count < 4; ++Count)
        Succeed("c");
      Targets.observe(*Targets.find("c"), evidence::Failed, Now, Now);
      CHECK(SendFor(milliseconds(2500))["c"] > 0);
    }
    SUBCASE("and a failed one sooner while many requests fail") {
      CHECK(Drawn["b"] == 0);
      Targets.observe(*Targets.find("b"), evidence::Broken, Now, Now);
      SendFor(milliseconds(5500));
      Targets.find("b")->LastUsed = Now - seconds(5);
      Query.FailedFraction = 0.12;
      CHECK(SendFor(milliseconds(1400))["b"] > 0);
    }
  }
  SUBCASE("a watched one that had none for too long, whatever it showed") {
    const probe_division Alone("i1", {{"i1", "Trnava"}});
    Now += seconds(10);
    for (const char *Id : {"a", "b", "c", "d"})
      Targets.find(Id)->LastUsed = Now - milliseconds(200);
    target &Failed = *Targets.find("b");
    Targets.observe(Failed, evidence::Broken, Now, Now);
    Failed.LastUsed = Now - milliseconds(1700);
    Query.WatchInterval = milliseconds(1600);
    Query.Watched = &Alone;
    CHECK(Draw(20)["b"] == 20);

    SUBCASE("not one that another instance watches") {
      const probe_division Other("i2", {{"i1", "Trnava"}});
      Query.Watched = &Other;
      CHECK(Draw(20)["b"] == 0);
    }
    SUBCASE("not one that takes no requests") {
      target_set::pause(Failed, seconds(1), Now);
      CHECK(Draw(20)["b"] == 0);
    }
    SUBCASE("also after it reset a connection of this instance") {
      target_set::observePath(Failed, evidence::Broken, Now, Now);
      CHECK(Draw(20)["b"] == 20);
    }
    SUBCASE("not one that this instance cannot reach") {
      Targets.observe(Failed, evidence::Unreachable, Now, Now);
      CHECK(Draw(20)["b"] == 0);
    }
  }
}
