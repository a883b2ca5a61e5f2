#include "Instance/Heartbeat.h"

#include <doctest/doctest.h>

using namespace magnolia::instance;
using std::chrono::milliseconds;

TEST_CASE("A heartbeat") {
  heartbeat Heartbeat;
  Heartbeat.Info = {"a", 3, "boot", "Howrah", "127.0.0.1:1", "127.0.0.1:2"};
  Heartbeat.Draining = true;
  Heartbeat.ConfigurationVersion = 7;
  Heartbeat.ConfigurationAge = milliseconds(40);
  Heartbeat.Received = {{"b", milliseconds(12)}};
  Heartbeat.KnownDraining = {{"c", 9}};

  SUBCASE("is unchanged after encoding and decoding") {
    const auto Read = decodeHeartbeat(encode(Heartbeat));
    REQUIRE(Read.ok());
    CHECK(Read->Info == Heartbeat.Info);
    CHECK(Read->Draining);
    CHECK(Read->ConfigurationVersion == 7);
    CHECK(Read->ConfigurationAge == milliseconds(40));
    REQUIRE(Read->Received.size() == 1);
    CHECK(Read->Received[0].Age == milliseconds(12));
    CHECK(Read->KnownDraining == Heartbeat.KnownDraining);
  }

  SUBCASE("is rejected when a part is missing") {
    const std::string Bytes = encode(Heartbeat);
    for (size_t Size = 0; Size < Bytes.size(); ++Size)
      CHECK_FALSE(decodeHeartbeat(Bytes.substr(0, Size)).ok());
  }
}
