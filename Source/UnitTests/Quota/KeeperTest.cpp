#include <doctest/doctest.h>

#include "Quota/ShareKeeper.h"
#include "UnitTests/Quota/FakeFleet.h"

using namespace magnolia::quota;
using namespace magnolia::quota::testing;
using std::chrono::seconds;

namespace {

fleet_options steadyClocks() {
  fleet_options Options;
  Options.Instances = 4;
  Options.TrueDrift = 0;
  Options.LeaseTerm = seconds(10);
  return Options;
}

uint32_t heldBy(fake_fleet &Fleet, size_t Index) {
  const fake_instance &Instance = Fleet.at(Index);
  if (!Instance.Running || !Instance.Shares)
    return 0;
  return Instance.Shares->Partitions[0].Held +
         Instance.Shares->Partitions[1].Held;
}

uint32_t slotsHeld(fake_fleet &Fleet) {
  return Fleet.slotsInUse(0) + Fleet.slotsInUse(1);
}

size_t someHolder(fake_fleet &Fleet) {
  size_t Index = 0;
  while (heldBy(Fleet, Index) == 0)
    ++Index;
  return Index;
}

} // namespace

TEST_CASE("Share keepers") {
  fake_fleet Fleet(steadyClocks());
  for (size_t Index = 0; Index < Fleet.size(); ++Index)
    Fleet.start(Index);
  Fleet.run(seconds(2));
  REQUIRE(slotsHeld(Fleet) == 4);
  const size_t Holder = someHolder(Fleet);
  const uint32_t Held = heldBy(Fleet, Holder);

  SUBCASE("choose owners of a partition in different failure domains") {
    const auto &Owners = Fleet.at(0).Shares->Partitions[0].Owners;
    REQUIRE(Owners.size() == 2);
    CHECK(Owners[0].back() % 3 != Owners[1].back() % 3);
  }

  SUBCASE("claim shares at once after a graceful shutdown") {
    Fleet.stop(Holder);
    Fleet.run(seconds(2));
    CHECK(slotsHeld(Fleet) == 4);
  }

  SUBCASE("wait for the end of a dead instance's lease") {
    Fleet.crash(Holder);
    Fleet.run(seconds(8));
    CHECK(slotsHeld(Fleet) == 4 - Held);
    Fleet.run(seconds(4));
    CHECK(slotsHeld(Fleet) == 4);
  }

  SUBCASE("resume a predecessor's lease when it is proven dead") {
    const std::string Lease = Fleet.at(Holder).Keeper->lease();
    Fleet.crash(Holder);
    Fleet.start(Holder);
    Fleet.run(milliseconds(100));
    CHECK(Fleet.at(Holder).Keeper->lease() == Lease);
    CHECK(heldBy(Fleet, Holder) == 0);
    Fleet.run(seconds(1));
    CHECK(heldBy(Fleet, Holder) == Held);
  }

  SUBCASE("claim shares after the operators' attestation") {
    Fleet.crash(Holder);
    REQUIRE(closeLeases(Fleet.table().service(), Fleet.at(Holder).Name,
                        Fleet.clockOf(0).Wall)
                .ok());
    Fleet.run(seconds(2));
    CHECK(slotsHeld(Fleet) == 4);
  }

  SUBCASE("use no slot twice when a running instance's lease is closed") {
    REQUIRE(closeLeases(Fleet.table().service(), Fleet.at(Holder).Name,
                        Fleet.clockOf(0).Wall)
                .ok());
    Fleet.run(seconds(1));
    CHECK(slotsHeld(Fleet) <= 4);
    CHECK(Fleet.at(Holder).Running);
  }

  SUBCASE("free a slot that they hand over only after its loans have ended") {
    fleet_options Options = steadyClocks();
    Options.LoanTerm = seconds(3);
    fake_fleet Late(Options);
    Late.start(0);
    Late.run(seconds(1));
    for (size_t Index = 1; Index < Late.size(); ++Index)
      Late.start(Index);
    Late.run(milliseconds(2500));
    CHECK(heldBy(Late, 0) < 4);
    CHECK(slotsHeld(Late) == heldBy(Late, 0));
    Late.run(seconds(3));
    CHECK(slotsHeld(Late) > heldBy(Late, 0));
  }

  SUBCASE(
      "divide a partition that one holds alone before the handover period") {
    fleet_options Options = steadyClocks();
    Options.HandoverPeriod = std::chrono::minutes(10);
    fake_fleet Late(Options);
    Late.start(0);
    Late.run(seconds(1));
    REQUIRE(heldBy(Late, 0) == 4);
    for (size_t Index = 1; Index < Late.size(); ++Index)
      Late.start(Index);
    Late.run(seconds(2));
    CHECK(slotsHeld(Late) == 4);
    for (const auto &Partition : Late.at(0).Shares->Partitions)
      CHECK(Partition.Owners.size() == 2);
  }

  SUBCASE("hand slots over to better owners that start later") {
    fake_fleet Late(steadyClocks());
    Late.start(0);
    Late.run(seconds(1));
    REQUIRE(heldBy(Late, 0) == 4);
    for (size_t Index = 1; Index < Late.size(); ++Index)
      Late.start(Index);
    Late.run(seconds(9));
    CHECK(slotsHeld(Late) == 4);
    CHECK(heldBy(Late, 0) <= 2);
  }
}
