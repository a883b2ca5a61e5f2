#include <algorithm>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include <doctest/doctest.h>

#include "MemoryTable.h"
#include "Target/FloorLease.h"
#include "Target/Selector.h"

using namespace magnolia;
using namespace magnolia::target;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr size_t InstanceCount = 14;
constexpr size_t TargetCount = 6;
constexpr uint32_t Slots = 6;
constexpr milliseconds Step{50};

contract::service ordersWithFloor(double Floor) {
  contract::service Service;
  Service.Name = "orders";
  Service.Floor = Floor;
  for (size_t I = 0; I < TargetCount; ++I)
    Service.Targets.push_back({"t" + std::to_string(I),
                               "127.0.0.1:" + std::to_string(9000 + I),
                               "domain" + std::to_string(I % 3), Slots, false});
  return Service;
}

settings quickSettings() {
  settings Settings = settings::fastDetection();
  Settings.BackOff = seconds(2);
  return Settings;
}

/// One instance with its own clocks and its own view of which targets fail.
struct instance {
  instance(size_t Index, std::mt19937_64 &Random)
      : Name("i" + std::to_string(Index)),
        Domain("domain" + std::to_string(Index % 3)),
        Offset(milliseconds(Random() % 1'000'000)),
        // Up to 0.4% fast or slow.
        DriftPerMille(static_cast<int>(Random() % 9) - 4),
        WallSkew(milliseconds(static_cast<int>(Random() % 1000) - 500)),
        Selector({Name, Domain, 1}, quickSettings(),
                 [&Random] { return Random(); }),
        Lease("floor/0", Name + "/1", {seconds(10), seconds(1)}) {}

  boot_time bootAt(milliseconds TrueTime) const {
    return boot_time(Offset + TrueTime + TrueTime * DriftPerMille / 1000);
  }
  common::wall_time wallAt(milliseconds TrueTime) const {
    return common::wall_time(seconds(1'000'000) + TrueTime + WallSkew);
  }

  std::string Name;
  std::string Domain;
  milliseconds Offset;
  int DriftPerMille;
  milliseconds WallSkew;
  target_selector Selector;
  floor_lease Lease;
  std::set<std::string> SeenFailing;
  milliseconds PausedUntil{0};
};

struct message {
  milliseconds Due;
  size_t To;
  std::string Bytes;
};

/// A fleet under a random schedule of failing targets, links cut in one
/// direction, lost, late and reordered digests, paused instances, a platform
/// that is unavailable or loses replies, and clocks that drift.
struct fleet {
  fleet(uint64_t Seed, double Floor)
      : Service(ordersWithFloor(Floor)), Random(Seed),
        Cut(InstanceCount, std::vector<bool>(InstanceCount)) {
    for (size_t I = 0; I < InstanceCount; ++I) {
      Instances.push_back(std::make_unique<instance>(I, Random));
      Instances.back()->Selector.setServices({&Service, 1});
    }
  }

  bool chance(int PerMille) {
    return static_cast<int>(Random() % 1000) < PerMille;
  }

  std::set<std::string> someTargets() {
    std::set<std::string> Names;
    for (const contract::target &Target : Service.Targets)
      if (chance(400))
        Names.insert(Target.Name);
    return Names;
  }

  /// Changes faults at random; a failing target is seen by the whole fleet, by
  /// one failure domain or by one instance.
  void changeFaults() {
    if (chance(8)) {
      const std::set<std::string> Common = someTargets();
      const uint64_t Kind = Random() % 3;
      for (auto &Each : Instances)
        Each->SeenFailing = Kind == 0 ? Common : someTargets();
      if (Kind == 1)
        for (size_t I = 0; I < InstanceCount; ++I)
          Instances[I]->SeenFailing = Instances[I % 3]->SeenFailing;
    }
    if (chance(20))
      for (auto &Row : Cut)
        Row[Random() % InstanceCount] = chance(300);
    if (chance(30))
      Instances[Random() % InstanceCount]->PausedUntil =
          Now + milliseconds(Random() % 12'000);
    if (chance(10))
      Table.Unavailable = !Table.Unavailable;
    Table.LoseReplies = chance(100);
  }

  void runRequests(instance &Self) {
    const boot_time Boot = Self.bootAt(Now);
    for (int I = 0; I < 12; ++I) {
      const auto Choice = Self.Selector.choose("orders", {}, Boot);
      if (!Choice)
        return;
      const bool Fails = Self.SeenFailing.contains(Choice->Target);
      Self.Selector.finish(
          *Choice,
          {Fails ? outcome::HalfAnswer : outcome::Success, milliseconds(20)},
          Boot);
    }
  }

  void sendDigests(size_t From) {
    instance &Self = *Instances[From];
    const std::string Bytes =
        encode(Self.Selector.makeDigest(Self.bootAt(Now)));
    for (size_t To = 0; To < InstanceCount; ++To)
      if (!Cut[From][To] && !chance(100))
        Messages.push_back(
            {Now + milliseconds(chance(100) ? Random() % 8000 : Random() % 100),
             To, Bytes});
  }

  void deliver() {
    std::vector<message> Later;
    for (message &Each : Messages) {
      instance &To = *Instances[Each.To];
      if (Each.Due > Now || To.PausedUntil > Now) {
        Later.push_back(std::move(Each));
        continue;
      }
      const auto Digest = decodeDigest(Each.Bytes);
      REQUIRE(Digest.ok());
      To.Selector.receive(*Digest, To.bootAt(Now));
    }
    Messages = std::move(Later);
  }

  void advance() {
    Now += Step;
    changeFaults();
    deliver();
    for (size_t I = 0; I < InstanceCount; ++I) {
      instance &Self = *Instances[I];
      if (Self.PausedUntil > Now)
        continue;
      runRequests(Self);
      const boot_time Boot = Self.bootAt(Now);
      (void)Self.Lease.poll(Table.service(), Self.wallAt(Now), Boot);
      Self.Selector.decideEjections(
          [&](std::string_view) { return Self.Lease.heldUntil(); }, Boot);
      if ((static_cast<size_t>(Now / Step) + I) % 8 == 0)
        sendDigests(I);
    }
  }

  /// Checks the floor in each instance and over the fleet. Returns the number
  /// of slots ejected by any instance.
  uint32_t checkFloor() {
    const uint32_t Allowed = ejectableSlots(Slots * TargetCount, Service.Floor);
    std::set<std::string> EjectedAnywhere;
    for (auto &Each : Instances) {
      if (Each->PausedUntil > Now)
        continue;
      uint32_t Unused = 0;
      for (const target_status &Target :
           Each->Selector.snapshot(Each->bootAt(Now))) {
        const bool Ejected = Target.Health == health_state::Ejected;
        if (Ejected)
          EjectedAnywhere.insert(Target.Target);
        if (Ejected || Target.Health == health_state::Avoided)
          Unused += Target.Slots;
      }
      REQUIRE(Unused <= Allowed);
    }
    const auto Ejected = static_cast<uint32_t>(EjectedAnywhere.size()) * Slots;
    REQUIRE(Ejected <= Allowed);
    return Ejected;
  }

  contract::service Service;
  std::mt19937_64 Random;
  test::memory_table Table;
  std::vector<std::unique_ptr<instance>> Instances;
  std::vector<std::vector<bool>> Cut;
  std::vector<message> Messages;
  milliseconds Now{1000};
};

} // namespace

TEST_CASE("The floor holds over a fleet under random schedules of faults") {
  for (const double Floor : {0.5, 0.7}) {
    CAPTURE(Floor);
    uint32_t MaxEjected = 0;
    for (uint64_t Seed = 1; Seed <= 6; ++Seed) {
      CAPTURE(Seed);
      fleet Fleet(Seed, Floor);
      while (Fleet.Now < seconds(75)) {
        Fleet.advance();
        MaxEjected = std::max(MaxEjected, Fleet.checkFloor());
      }
    }
    // The test proves nothing unless some schedules reach the limit.
    const uint32_t Allowed = ejectableSlots(Slots * TargetCount, Floor);
    CHECK(MaxEjected == Allowed / Slots * Slots);
  }
}
