#include "Platform/ConfigFreshness.h"

#include <doctest/doctest.h>

using namespace magnolia::platform;
using magnolia::common::boot_time;
using std::chrono::seconds;

namespace {

boot_time at(int Seconds) { return boot_time(seconds(Seconds)); }

} // namespace

TEST_CASE("An instance with five peers and eight seconds of freshness") {
  config_freshness Freshness({seconds(8), 15});
  Freshness.setPeerCount(5);
  for (const char *Peer : {"a", "b", "c", "d", "e"})
    Freshness.addQueried(Peer);

  SUBCASE("serves no keyed request before it has a version") {
    Freshness.addClaim(3, at(10));
    CHECK(Freshness.keyedUntil() == boot_time::min());
    SUBCASE("and then uses the claim received before") {
      Freshness.setApplied(3);
      CHECK(Freshness.keyedUntil() == at(18));
    }
  }

  SUBCASE("serves as long as the latest claim is fresh") {
    Freshness.setApplied(3);
    CHECK(Freshness.keyedUntil() == boot_time::min());
    Freshness.addClaim(3, at(10));
    Freshness.addClaim(2, at(12));
    Freshness.addClaim(3, at(11));
    CHECK(Freshness.keyedUntil() == at(20));
  }

  SUBCASE("without the table needs three peers for a majority with itself") {
    Freshness.setApplied(3);
    Freshness.addConfirmation("a", 3, at(20));
    Freshness.addConfirmation("b", 2, at(21));
    Freshness.addConfirmation("b", 3, at(22));
    CHECK(Freshness.keyedUntil() == boot_time::min());
    Freshness.addConfirmation("stranger", 3, at(23));
    Freshness.addConfirmation("c", 4, at(23));
    CHECK(Freshness.keyedUntil() == boot_time::min());
    Freshness.addConfirmation("d", 3, at(19));
    CHECK(Freshness.keyedUntil() == at(27));
  }

  SUBCASE("stops when it cannot get a version that it knows of") {
    Freshness.setApplied(3);
    Freshness.addKnownVersion(4, at(30));
    Freshness.addKnownVersion(5, at(34));
    for (const char *Peer : {"a", "b", "c", "d", "e"})
      Freshness.addConfirmation(Peer, 3, at(100));
    CHECK(Freshness.keyedUntil() == at(38));
    Freshness.setApplied(5);
    CHECK(Freshness.keyedUntil() == at(108));
  }
}

TEST_CASE("In a large fleet the peers queried last confirm the version") {
  config_freshness Freshness({seconds(8), 3});
  Freshness.setPeerCount(100);
  Freshness.setApplied(1);
  for (const char *Peer : {"a", "b", "c", "d"})
    Freshness.addQueried(Peer);
  Freshness.addConfirmation("a", 1, at(5));
  Freshness.addConfirmation("b", 1, at(5));
  CHECK(Freshness.keyedUntil() == boot_time::min());
  Freshness.addConfirmation("d", 1, at(6));
  CHECK(Freshness.keyedUntil() == at(13));
}
