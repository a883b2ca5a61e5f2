#include "Target/Selector.h"

#include <map>
#include <random>
#include <string>
#include <vector>

#include <doctest/doctest.h>

using namespace magnolia;
using namespace magnolia::target;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

contract::service orders(size_t TargetCount, uint32_t Slots) {
  contract::service Service;
  Service.Name = "orders";
  Service.Floor = 0.5;
  const std::vector<std::string> Domains = {"Trnava", "Nitra", "Senica"};
  for (size_t I = 0; I < TargetCount; ++I)
    Service.Targets.push_back({"t" + std::to_string(I),
                               "127.0.0.1:" + std::to_string(9000 + I),
                               Domains[I % Domains.size()], Slots, false});
  return Service;
}

/// A selector with a simulated clock and seeded random numbers.
struct fixture {
  explicit fixture(size_t TargetCount = 6, uint32_t Slots = 6)
      : Service(orders(TargetCount, Slots)),
        Selector({"a", "Trnava", 1}, settings::fastDetection(),
                 [this] { return Numbers(); }) {
    Selector.setServices({&Service, 1});
  }

  std::optional<choice> choose() { return Selector.choose("orders", {}, Now); }

  /// Runs one request. It succeeds with \p Latency, or ends with \p Outcome and
  /// \p BadLatency if it went to \p Bad.
  std::string run(const std::string &Bad, outcome Outcome,
                  milliseconds BadLatency, milliseconds Latency) {
    const std::optional<choice> Choice = choose();
    if (!Choice)
      return "";
    const bool IsBad = Choice->Target == Bad;
    Now += milliseconds(10);
    observation Seen;
    Seen.Outcome = IsBad ? Outcome : outcome::Success;
    Seen.Latency = IsBad ? BadLatency : Latency;
    Selector.finish(*Choice, Seen, Now);
    return Choice->Target;
  }

  size_t unused() {
    size_t Count = 0;
    for (const target_status &Each : Selector.snapshot(Now))
      Count += Each.Health == health_state::Avoided ||
               Each.Health == health_state::Ejected;
    return Count;
  }

  health_state healthOf(const std::string &Target) {
    for (const target_status &Each : Selector.snapshot(Now))
      if (Each.Target == Target)
        return Each.Health;
    return health_state::Count;
  }

  contract::service Service;
  std::mt19937_64 Numbers{20261204};
  boot_time Now{seconds(100)};
  target_selector Selector;
};

} // namespace

TEST_CASE("A target selector") {
  fixture Fixture;

  SUBCASE(
      "distributes attempts by requests in flight and fills every slot once") {
    std::vector<choice> Held;
    while (const auto Choice = Fixture.choose())
      Held.push_back(*Choice);
    CHECK(Held.size() == 36);

    SUBCASE("and a finished or cancelled attempt frees its slot") {
      Fixture.Selector.finish(Held[0], {}, Fixture.Now);
      Fixture.Selector.cancel(Held[1], Fixture.Now);
      CHECK(Fixture.choose());
      CHECK(Fixture.choose());
      CHECK_FALSE(Fixture.choose());
    }
  }

  SUBCASE("prefers its own failure domain among equally loaded targets") {
    std::map<std::string, int> Counts;
    for (int I = 0; I < 1200; ++I) {
      const auto Choice = Fixture.choose();
      REQUIRE(Choice);
      ++Counts[Choice->FailureDomain];
      Fixture.Selector.cancel(*Choice, Fixture.Now);
    }
    CHECK(Counts["Trnava"] > 900);
    CHECK(Counts["Nitra"] > 50);
    CHECK(Counts["Senica"] > 50);
  }

  SUBCASE("does not choose an excluded target") {
    const std::vector<std::string> Excluded = {"t0", "t1", "t2", "t3", "t4"};
    const auto Choice =
        Fixture.Selector.choose("orders", Excluded, Fixture.Now);
    REQUIRE(Choice);
    CHECK(Choice->Target == "t5");
  }

  SUBCASE("selects no target of a removed service") {
    Fixture.Selector.setServices({});
    CHECK_FALSE(Fixture.choose());
  }

  for (const outcome Outcome : {outcome::Error, outcome::HalfAnswer,
                                outcome::Unreachable, outcome::Mismatched}) {
    CAPTURE(nameOf(Outcome));
    SUBCASE(std::string(nameOf(Outcome)).c_str()) {
      for (int I = 0; I < 300; ++I)
        Fixture.run("t2", Outcome, milliseconds(1), milliseconds(20));
      CHECK(Fixture.healthOf("t2") == health_state::Avoided);
      CHECK(Fixture.unused() == 1);
    }
  }

  SUBCASE("avoids a slow target, and only that one") {
    for (int I = 0; I < 600; ++I)
      Fixture.run("t2", outcome::Success, milliseconds(400), milliseconds(20));
    CHECK(Fixture.healthOf("t2") == health_state::Avoided);
    CHECK(Fixture.unused() == 1);
  }

  SUBCASE("avoids a target whose requests are always superseded") {
    // Each hedge starts soon and hides that nothing comes back.
    for (int I = 0; I < 600; ++I)
      Fixture.run("t2", outcome::Superseded, milliseconds(45),
                  milliseconds(20));
    CHECK(Fixture.healthOf("t2") == health_state::Avoided);
    CHECK(Fixture.unused() == 1);

    SUBCASE("also when it returns") {
      Fixture.Now += seconds(6);
      for (int I = 0; I < 200; ++I) {
        Fixture.run("t2", outcome::Superseded, milliseconds(45),
                    milliseconds(20));
        CHECK(Fixture.healthOf("t2") != health_state::Healthy);
      }
    }
  }

  SUBCASE("uses a target of which one request in ten is superseded") {
    for (int I = 0; I < 2000; ++I)
      Fixture.run("t2", I % 10 == 0 ? outcome::Superseded : outcome::Success,
                  milliseconds(20), milliseconds(20));
    CHECK(Fixture.unused() == 0);
  }

  SUBCASE("counts a pending request as a stall by its age") {
    // Requests to t2 get no response, and no deadline has passed yet.
    for (int Round = 0; Round < 40; ++Round) {
      std::vector<choice> Batch;
      for (int I = 0; I < 18; ++I)
        if (const auto Choice = Fixture.choose())
          Batch.push_back(*Choice);
      Fixture.Now += milliseconds(20);
      for (const choice &Choice : Batch)
        if (Choice.Target != "t2")
          Fixture.Selector.finish(Choice, {outcome::Success, milliseconds(20)},
                                  Fixture.Now);
    }
    CHECK(Fixture.healthOf("t2") == health_state::Avoided);
  }

  SUBCASE("counts neither a busy refusal nor a cancelled attempt as a fault") {
    for (int I = 0; I < 600; ++I) {
      const auto Choice = Fixture.choose();
      REQUIRE(Choice);
      Fixture.Now += milliseconds(10);
      if (Choice->Target == "t1")
        Fixture.Selector.cancel(*Choice, Fixture.Now);
      else
        Fixture.Selector.finish(
            *Choice,
            {Choice->Target == "t2" ? outcome::RefusedNotRun : outcome::Success,
             milliseconds(20)},
            Fixture.Now);
    }
    CHECK(Fixture.unused() == 0);
  }

  SUBCASE("avoids no target because of the load it reports") {
    observation Misleading{outcome::Success, milliseconds(20)};
    Misleading.ReportedLoad = 1000;
    for (int I = 0; I < 200; ++I) {
      const auto Choice = Fixture.choose();
      REQUIRE(Choice);
      Fixture.Now += milliseconds(10);
      Fixture.Selector.finish(*Choice, Misleading, Fixture.Now);
    }
    CHECK(Fixture.unused() == 0);
  }

  SUBCASE("avoids nothing while all targets slow down or fail together") {
    for (int I = 0; I < 1000; ++I) {
      const auto Choice = Fixture.choose();
      REQUIRE(Choice);
      Fixture.Now += milliseconds(10);
      Fixture.Selector.finish(
          *Choice,
          {I % 3 == 0 ? outcome::Error : outcome::Success, milliseconds(I)},
          Fixture.Now);
    }
    CHECK(Fixture.unused() == 0);
  }

  SUBCASE("never avoids more than the floor allows") {
    for (int I = 0; I < 1000; ++I) {
      const auto Choice = Fixture.choose();
      REQUIRE(Choice);
      Fixture.Now += milliseconds(10);
      const bool Good = Choice->Target == "t0" || Choice->Target == "t1";
      Fixture.Selector.finish(
          *Choice,
          {Good ? outcome::Success : outcome::HalfAnswer, milliseconds(20)},
          Fixture.Now);
      REQUIRE(Fixture.unused() <= 3);
    }
  }
}

TEST_CASE("A recovered target") {
  fixture Fixture;
  for (int I = 0; I < 300; ++I)
    Fixture.run("t2", outcome::Error, milliseconds(1), milliseconds(20));
  REQUIRE(Fixture.healthOf("t2") == health_state::Avoided);

  SUBCASE("returns after a back-off, with a limited number of requests") {
    Fixture.Now += settings().BackOff;
    Fixture.Selector.tick(Fixture.Now);
    REQUIRE(Fixture.healthOf("t2") == health_state::Returning);
    size_t Held = 0;
    while (const auto Choice = Fixture.choose())
      Held += Choice->Target == "t2";
    CHECK(Held == 1);
  }

  SUBCASE("is healthy again after some successful responses") {
    Fixture.Now += settings().BackOff;
    for (int I = 0; I < 400; ++I)
      Fixture.run("", outcome::Success, milliseconds(20), milliseconds(20));
    CHECK(Fixture.healthOf("t2") == health_state::Healthy);
  }

  SUBCASE("has a longer back-off when it fails again") {
    Fixture.Now += settings().BackOff;
    for (int I = 0; I < 100; ++I)
      Fixture.run("t2", outcome::Error, milliseconds(1), milliseconds(20));
    Fixture.Now += settings().BackOff;
    Fixture.Selector.tick(Fixture.Now);
    CHECK(Fixture.healthOf("t2") == health_state::Avoided);
    Fixture.Now += settings().BackOff;
    Fixture.Selector.tick(Fixture.Now);
    CHECK(Fixture.healthOf("t2") == health_state::Returning);
  }
}

TEST_CASE("A draining target gets no new requests") {
  fixture Fixture;

  SUBCASE("after it reported so in a response") {
    const auto Choice = Fixture.choose();
    REQUIRE(Choice);
    observation Last;
    Last.Drain = drain_report{true, 5};
    Fixture.Selector.finish(*Choice, Last, Fixture.Now);
    CHECK(Fixture.healthOf(Choice->Target) == health_state::Draining);

    SUBCASE("and peers receive it by digest") {
      fixture Peer;
      digest Digest = Fixture.Selector.makeDigest(Fixture.Now);
      Digest.Instance = "b";
      CHECK(Peer.Selector.receive(Digest, Peer.Now));
      CHECK(Peer.healthOf(Choice->Target) == health_state::Draining);
    }
  }

  SUBCASE("after the manifest marked it") {
    Fixture.Service.Targets[3].Draining = true;
    Fixture.Selector.setServices({&Fixture.Service, 1});
    CHECK(Fixture.healthOf("t3") == health_state::Draining);
    for (int I = 0; I < 100; ++I)
      CHECK(Fixture.run("", outcome::Success, {}, milliseconds(1)) != "t3");
  }

  SUBCASE("even if a response to an earlier request contradicts") {
    const auto Early = Fixture.choose();
    REQUIRE(Early);
    Fixture.Now += milliseconds(5);
    Fixture.Selector.reportDrain("orders", Early->Target, {true, 5},
                                 Fixture.Now, Fixture.Now);
    Fixture.Now += milliseconds(5);
    observation Late;
    Late.Drain = drain_report{false, 5};
    Fixture.Selector.finish(*Early, Late, Fixture.Now);
    CHECK(Fixture.healthOf(Early->Target) == health_state::Draining);
  }

  SUBCASE("until a probe reports its return") {
    Fixture.Selector.reportDrain("orders", "t1", {true, 5}, Fixture.Now,
                                 Fixture.Now);
    CHECK(Fixture.Selector.probesDue(Fixture.Now).empty());
    Fixture.Now += settings().DrainProbeAfter;
    REQUIRE(Fixture.Selector.probesDue(Fixture.Now).size() == 1);
    CHECK(Fixture.Selector.probesDue(Fixture.Now).empty());
    const boot_time SentAt = Fixture.Now;
    Fixture.Now += milliseconds(25);
    Fixture.Selector.reportDrain("orders", "t1", {false, 5}, SentAt,
                                 Fixture.Now);
    CHECK(Fixture.healthOf("t1") == health_state::Healthy);
  }
}

TEST_CASE("A digest omits the echo of a peer that was silent for long") {
  fixture Fixture;
  digest Digest;
  Digest.Instance = "b";
  CHECK(Fixture.Selector.receive(Digest, Fixture.Now));
  CHECK_FALSE(Fixture.Selector.receive(Digest, Fixture.Now));
  Fixture.Now += std::chrono::minutes(2);
  Digest.Instance = "c";
  CHECK(Fixture.Selector.receive(Digest, Fixture.Now));
  const digest Own = Fixture.Selector.makeDigest(Fixture.Now);
  REQUIRE(Own.Echoes.size() == 1);
  CHECK(Own.Echoes[0].Instance == "c");
}
