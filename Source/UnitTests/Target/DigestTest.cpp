#include "Target/Digest.h"

#include <doctest/doctest.h>

using namespace magnolia::target;
using std::chrono::seconds;

TEST_CASE("A digest") {
  digest Digest;
  Digest.Instance = "a";
  Digest.Incarnation = 3;
  Digest.FailureDomain = "Howrah";
  Digest.Stamp = boot_time(seconds(9));
  Digest.Echoes = {{"b", 4, boot_time(seconds(8))}};
  Digest.Reports = {{"orders", "t1", {12.25, 3, 9, 80.5, 2.5}, {5, 2, true}}};
  Digest.Ejections = {{"orders", seconds(3), {"t2", "t1"}}};

  SUBCASE("is unchanged after encoding and decoding") {
    const auto Read = decodeDigest(encode(Digest));
    REQUIRE(Read.ok());
    CHECK(Read->Instance == "a");
    CHECK(Read->Incarnation == 3);
    CHECK(Read->FailureDomain == "Howrah");
    CHECK(Read->Stamp == Digest.Stamp);
    REQUIRE(Read->Echoes.size() == 1);
    CHECK(Read->Echoes[0].Stamp == Digest.Echoes[0].Stamp);
    REQUIRE(Read->Reports.size() == 1);
    CHECK(Read->Reports[0].Evidence.Weight == doctest::Approx(12.25));
    CHECK(Read->Reports[0].Evidence.Suspicion == doctest::Approx(2.5));
    CHECK(Read->Reports[0].Drain == Digest.Reports[0].Drain);
    REQUIRE(Read->Ejections.size() == 1);
    CHECK(Read->Ejections[0].Term == seconds(3));
    CHECK(Read->Ejections[0].Targets == Digest.Ejections[0].Targets);
  }

  SUBCASE("is rejected when a part is missing or of another type") {
    const std::string Bytes = encode(Digest);
    for (size_t Size = 0; Size < Bytes.size(); ++Size)
      CHECK_FALSE(decodeDigest(Bytes.substr(0, Size)).ok());
    CHECK_FALSE(decodeDigest("\x81\x01").ok());
    CHECK_FALSE(decodeDigest("\xa0").ok());
  }
}
