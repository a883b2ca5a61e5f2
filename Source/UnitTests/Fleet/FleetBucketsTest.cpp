#include "Fleet/FleetBuckets.h"

#include <algorithm>
#include <deque>
#include <vector>

#include <doctest/doctest.h>

using namespace magnolia::fleet;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr uint32_t WorkspaceKey = 1;

/// Instances that report their admissions to each other after a delay.
class reporting_fleet {
public:
  reporting_fleet(size_t Size, milliseconds Delay)
      : Delay(Delay), Buckets(Size, fleet_buckets(bucket_settings())) {}

  bool admit(size_t Instance, const workspace_rate &Rate,
             double ReachableFraction, boot_time Now) {
    deliver(Now);
    const double OwnFraction = 1 / static_cast<double>(Buckets.size());
    if (!Buckets[Instance]
             .admit(WorkspaceKey, Rate, ReachableFraction, Now, OwnFraction)
             .Admitted)
      return false;
    if (ReachableFraction == 1)
      InTransit.push_back({Now + Delay, Instance});
    Admitted.push_back(Now);
    return true;
  }

  /// The largest number of admissions in any \p Window.
  size_t maxInWindow(duration Window) const {
    size_t Most = 0;
    size_t First = 0;
    for (size_t Last = 0; Last < Admitted.size(); ++Last) {
      while (Admitted[Last] - Admitted[First] >= Window)
        ++First;
      Most = std::max(Most, Last - First + 1);
    }
    return Most;
  }

  /// The smallest number of admissions in any \p Window from \p First to \p
  /// End.
  size_t minInWindow(duration Window, boot_time First, boot_time End) const {
    size_t Fewest = Admitted.size();
    for (boot_time At = First; At + Window <= End; At += milliseconds(100)) {
      const auto Count =
          std::lower_bound(Admitted.begin(), Admitted.end(), At + Window) -
          std::lower_bound(Admitted.begin(), Admitted.end(), At);
      Fewest = std::min(Fewest, static_cast<size_t>(Count));
    }
    return Fewest;
  }

  size_t admitted() const { return Admitted.size(); }

private:
  struct report {
    boot_time At;
    size_t From;
  };

  void deliver(boot_time Now) {
    while (!InTransit.empty() && InTransit.front().At <= Now) {
      for (size_t Other = 0; Other < Buckets.size(); ++Other)
        if (Other != InTransit.front().From)
          Buckets[Other].chargePeers(WorkspaceKey, 1, InTransit.front().At);
      InTransit.pop_front();
    }
  }

  milliseconds Delay;
  std::vector<fleet_buckets> Buckets;
  std::deque<report> InTransit;
  std::vector<boot_time> Admitted;
};

/// The most requests that the users' contract allows in five seconds.
size_t boundOf(const workspace_rate &Rate) {
  return static_cast<size_t>((Rate.PerSecond * 5 + Rate.Burst) * 1.1 + 20);
}

} // namespace

TEST_CASE("A workspace's rate over the fleet") {
  const workspace_rate Rate{20, 20};
  boot_time Now(seconds(50));

  SUBCASE("holds when the workspace sends eight times as much") {
    reporting_fleet Fleet(16, milliseconds(300));
    for (int Tick = 0; Tick < 3200; ++Tick) {
      Fleet.admit(static_cast<size_t>(Tick) % 16, Rate, 1,
                  Now + milliseconds(Tick * 6));
    }
    CHECK(Fleet.maxInWindow(seconds(5)) <= boundOf(Rate));
    CHECK(Fleet.admitted() >= 19 * 20);
  }
  SUBCASE("is used evenly while the workspace sends four times as much") {
    // On the users' machines updates arrive after a quarter of a second.
    const workspace_rate Hot{70, 35};
    reporting_fleet Fleet(16, milliseconds(270));
    boot_time End = Now;
    for (int Tick = 0; Tick < 2800; ++Tick) {
      End = Now + std::chrono::microseconds(Tick * 3571);
      Fleet.admit(static_cast<size_t>(Tick * 7 + Tick / 16) % 16, Hot, 1, End);
    }
    CHECK(Fleet.maxInWindow(seconds(5)) <= boundOf(Hot));
    // The fleet has paid back the first burst by then.
    CHECK(Fleet.minInWindow(seconds(2), Now + seconds(3), End) >=
          0.85 * 2 * 70);
  }
  SUBCASE("holds when no instance reaches another") {
    reporting_fleet Fleet(16, milliseconds(300));
    for (int Tick = 0; Tick < 3200; ++Tick)
      Fleet.admit(static_cast<size_t>(Tick) % 16, Rate, 1.0 / 16,
                  Now + milliseconds(Tick * 6));
    CHECK(Fleet.maxInWindow(seconds(5)) <= boundOf(Rate));
    CHECK(Fleet.admitted() >= 15 * 20);
  }
  SUBCASE("refuses no request within it") {
    reporting_fleet Fleet(16, milliseconds(300));
    size_t Refused = 0;
    for (int Tick = 0; Tick < 1000; ++Tick)
      if (!Fleet.admit(static_cast<size_t>(Tick * 7) % 16, Rate, 1,
                       Now + milliseconds(Tick * 55)))
        ++Refused;
    CHECK(Refused == 0);
  }
  SUBCASE("earns tokens from the first update, also on an idle instance") {
    fleet_buckets Buckets{bucket_settings()};
    for (int Second = 0; Second < 10; ++Second)
      Buckets.chargePeers(WorkspaceKey, 18, Now + seconds(Second));
    CHECK(Buckets.admit(WorkspaceKey, Rate, 1, Now + seconds(10)).Admitted);
  }
  SUBCASE("charges what peers admitted earlier to the first burst only") {
    fleet_buckets Buckets{bucket_settings()};
    const workspace_rate Rate{10, 5};
    const boot_time Start(seconds(50));
    // Two peers that had been running for a minute before this instance
    // started.
    Buckets.chargeEarlier(WorkspaceKey, 300, Start);
    Buckets.chargeEarlier(WorkspaceKey, 300, Start);
    const auto First = Buckets.admit(WorkspaceKey, Rate, 1, Start);
    CHECK(First.Tokens == doctest::Approx(0));
    // The rate applies at once.
    CHECK(Buckets.admit(WorkspaceKey, Rate, 1, Start + seconds(1)).Tokens >= 4);
    Buckets.chargeEarlier(WorkspaceKey, 300, Start + seconds(1));
    CHECK(Buckets.admit(WorkspaceKey, Rate, 1, Start + seconds(2)).Admitted);
  }
  SUBCASE("returns the time after which a refused caller can retry") {
    fleet_buckets Buckets{bucket_settings()};
    admission_decision Decision;
    while (Decision.Admitted)
      Decision = Buckets.admit(WorkspaceKey, Rate, 1, Now);
    CHECK(Decision.RetryAfter > duration::zero());
    CHECK(Buckets.admit(WorkspaceKey, Rate, 1, Now + Decision.RetryAfter)
              .Admitted);
  }
  SUBCASE("is unlimited if it is zero") {
    fleet_buckets Buckets{bucket_settings()};
    for (int Count = 0; Count < 1000; ++Count)
      CHECK(Buckets.admit(WorkspaceKey, {0, 0}, 1, Now).Admitted);
  }
}

TEST_CASE("Totals for peers") {
  fleet_buckets Buckets{bucket_settings()};
  const boot_time Now(seconds(50));
  Buckets.admit(1, {5, 5}, 1, Now);
  Buckets.admit(1, {5, 5}, 1, Now);
  Buckets.admit(2, {5, 5}, 1, Now);
  CHECK(Buckets.collectTotals(audience::SameDomain, false).size() == 2);
  CHECK(Buckets.collectTotals(audience::SameDomain, false).empty());
  Buckets.admit(1, {5, 5}, 1, Now);
  const auto Changed = Buckets.collectTotals(audience::SameDomain, false);
  REQUIRE(Changed.size() == 1);
  CHECK(Changed[0].Requests == 3);
  CHECK(Buckets.collectTotals(audience::SameDomain, true).size() == 2);

  SUBCASE("are tracked for each audience") {
    const auto Far = Buckets.collectTotals(audience::OtherDomains, false);
    REQUIRE(Far.size() == 2);
    CHECK(Far[0].Requests + Far[1].Requests == 4);
    CHECK(Buckets.collectTotals(audience::OtherDomains, false).empty());
  }
}

TEST_CASE("A workspace's rate over hundreds of instances with late reports") {
  struct workload {
    size_t Instances;
    milliseconds Delay;
    workspace_rate Rate;
    /// The workspace sends this many times its rate.
    double Times;
  };
  // Each report reaches all other instances after the delay.
  for (const workload &Load :
       {workload{177, milliseconds(560), {60, 60}, 8},
        workload{177, milliseconds(560), {20, 10}, 8},
        workload{177, milliseconds(560), {200, 50}, 8},
        workload{177, milliseconds(560), {60, 60}, 3},
        workload{43, milliseconds(500), {40, 40}, 8},
        workload{300, milliseconds(560), {100, 100}, 8}}) {
    CAPTURE(Load.Instances);
    CAPTURE(Load.Rate.PerSecond);
    CAPTURE(Load.Times);
    reporting_fleet Fleet(Load.Instances, Load.Delay);
    const boot_time Now(seconds(50));
    const double PerSecond = Load.Times * Load.Rate.PerSecond;
    for (int Tick = 0; Tick < 10 * PerSecond; ++Tick)
      Fleet.admit(static_cast<size_t>(Tick) % Load.Instances, Load.Rate, 1,
                  Now + std::chrono::microseconds(
                            static_cast<int64_t>(Tick * 1e6 / PerSecond)));
    CHECK(Fleet.maxInWindow(seconds(5)) <= boundOf(Load.Rate));
    CHECK(static_cast<double>(Fleet.admitted()) >= 9 * Load.Rate.PerSecond);
  }
}
