#include "Request/SecondSend.h"

#include <algorithm>
#include <random>
#include <vector>

#include <doctest/doctest.h>

#include "Request/RecentLatencies.h"

using namespace magnolia::request;
using std::chrono::microseconds;
using std::chrono::milliseconds;
using reason = second_send_reason;

TEST_CASE("The decision on a second send") {
  second_send_state State;
  State.Repeatable = true;
  State.HasOtherTarget = true;
  State.Delay = milliseconds(80);
  State.Waited = milliseconds(80);
  State.TimeLeft = milliseconds(500);
  State.UsualLatency = milliseconds(40);
  const auto Decide = [&] { return decideSecondSend({}, State); };
  CHECK(Decide() == reason::Start);

  SUBCASE("never for a request that may run once") {
    State.Repeatable = false;
    CHECK(Decide() == reason::NotRepeatable);
  }
  SUBCASE("not without another target") {
    State.HasOtherTarget = false;
    CHECK(Decide() == reason::NoOtherTarget);
  }
  SUBCASE("not while the latency is unknown") {
    State.Delay.reset();
    CHECK(Decide() == reason::LatencyUnknown);
  }
  SUBCASE("not before its delay") {
    State.Waited = milliseconds(79);
    CHECK(Decide() == reason::TooEarly);
  }
  SUBCASE("not if the deadline is too near for another run") {
    State.TimeLeft = milliseconds(59);
    CHECK(Decide() == reason::DeadlineTooNear);
  }
  SUBCASE("not while most targets are slow together") {
    State.MedianRise = 2;
    CHECK(Decide() == reason::TargetsSlow);
    State.MedianRise = 1;
    State.LateFraction = 0.3;
    CHECK(Decide() == reason::TargetsSlow);
  }
  SUBCASE("not while few slots are free") {
    State.FreeFraction = 0.05;
    CHECK(Decide() == reason::RoomShort);
  }
}

TEST_CASE("Recent latencies") {
  recent_latencies Latencies;
  for (int Sample = 1; Sample < 16; ++Sample)
    Latencies.add(milliseconds(Sample));
  CHECK_FALSE(Latencies.quantile(0.5).has_value());
  Latencies.add(milliseconds(16));
  CHECK(Latencies.quantile(0.5) == milliseconds(8));
  CHECK(Latencies.quantile(0.98) == milliseconds(16));
  CHECK(Latencies.medianRise() == 1);

  SUBCASE("show that the median has risen, until that is usual") {
    for (int Sample = 0; Sample < 112; ++Sample)
      Latencies.add(milliseconds(10));
    CHECK(Latencies.medianRise() == 1);
    for (int Sample = 0; Sample < 16; ++Sample)
      Latencies.add(milliseconds(80));
    CHECK(Latencies.medianRise() == 8);
    for (int Sample = 0; Sample < 112; ++Sample)
      Latencies.add(milliseconds(80));
    CHECK(Latencies.medianRise() == 1);
    CHECK(Latencies.size() == recent_latencies::Kept);
  }
}

namespace {

constexpr double Limit = 0.05;
constexpr int Targets = 40;

/// Requests one after the other to targets of which some are eight times as
/// slow, with second sends of at most \p Limit of them.
struct slow_targets {
  int Slow = 0;
  std::mt19937 Random{7};
  recent_latencies Latencies;
  int Requests = 0;
  int SecondSends = 0;
  int Late = 0;
  std::vector<microseconds> Taken;

  microseconds draw(int Target) {
    std::lognormal_distribution<double> Work(0, 0.3);
    const double Factor = Target < Slow ? 8 : 1;
    return microseconds(static_cast<int64_t>(40000 * Factor * Work(Random)));
  }

  void send(bool Allowed) {
    ++Requests;
    const int First = std::uniform_int_distribution<>(0, Targets - 1)(Random);
    const int Other = (First + Targets / 2) % Targets;
    microseconds Took = draw(First);
    second_send_state State;
    State.Repeatable = true;
    State.HasOtherTarget = true;
    State.Delay = Latencies.quantile(1 - Limit);
    State.TimeLeft = milliseconds(2000);
    State.UsualLatency = Latencies.quantile(0.5).value_or(microseconds(0));
    State.MedianRise = Latencies.medianRise();
    if (State.Delay && Took > *State.Delay) {
      State.Waited = *State.Delay;
      // A window of 200 requests.
      State.LateFraction = std::min(1.0, Late / 200.0);
      Late = std::min(Late + 1, 200);
      const bool Granted = SecondSends + 1 <= Limit * Requests + 5;
      if (Allowed && Granted && decideSecondSend({}, State) == reason::Start) {
        ++SecondSends;
        const microseconds Second = *State.Delay + draw(Other);
        if (Second < Took)
          Latencies.add(Second - *State.Delay);
        Took = std::min(Took, Second);
      }
    }
    if (Requests % 200 == 0)
      Late = 0;
    Latencies.add(Took);
    Taken.push_back(Took);
  }

  void send(int Count, bool Allowed) {
    for (int Each = 0; Each < Count; ++Each)
      send(Allowed);
  }

  microseconds p99() {
    std::sort(Taken.begin(), Taken.end());
    return Taken[Taken.size() * 99 / 100];
  }
};

} // namespace

TEST_CASE("One tenth of the targets is eight times as slow") {
  slow_targets Without;
  Without.Slow = Targets / 10;
  Without.send(20000, false);
  slow_targets With;
  With.Slow = Targets / 10;
  With.send(20000, true);
  CHECK(With.p99() < Without.p99() * 85 / 100);
  CHECK(With.SecondSends <= Limit * With.Requests + 5);
  CHECK(With.SecondSends > 400);
}

TEST_CASE("All targets become eight times as slow") {
  slow_targets Fleet;
  Fleet.send(2000, true);
  const int Before = Fleet.SecondSends;
  REQUIRE(Before > 20);
  Fleet.Slow = Targets;
  Fleet.send(1, true);

  SUBCASE("and hardly any request is sent twice until that is usual") {
    Fleet.send(recent_latencies::Kept / 2 - 1, true);
    // Those before the samples show it.
    CHECK(Fleet.SecondSends - Before <= 8);
  }
  SUBCASE("and none while its peers' reports show it") {
    second_send_state State;
    State.Repeatable = true;
    State.HasOtherTarget = true;
    State.Delay = State.Waited = milliseconds(80);
    State.TimeLeft = milliseconds(2000);
    State.LateFraction = 0.9;
    CHECK(decideSecondSend({}, State) == reason::TargetsSlow);
  }
}
