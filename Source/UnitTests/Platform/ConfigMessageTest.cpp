#include "Platform/ConfigMessage.h"

#include <doctest/doctest.h>

using namespace magnolia::platform;

TEST_CASE("A message about the configuration") {
  SUBCASE("is decoded as it was encoded") {
    const std::string Binary("\0\xff{", 3);
    const config_claim Claim{5, 6, "d", std::chrono::microseconds(7), 13};
    for (const config_message &Message :
         {config_message(config_query{1, 2}), config_message(Claim),
          config_message(config_fetch{"d", 9}),
          config_message(config_chunk{"d", 9, 12, Binary})}) {
      const auto Decoded = decodeConfigMessage(encode(Message));
      REQUIRE(Decoded.ok());
      CHECK(encode(*Decoded) == encode(Message));
    }
    const auto Decoded = decodeConfigMessage(encode(Claim));
    CHECK(std::get<config_claim>(*Decoded).Age == Claim.Age);
    CHECK(std::get<config_claim>(*Decoded).Peers == 13);
  }

  SUBCASE("that is malformed is rejected") {
    const std::string Complete = encode(config_query{1, 2});
    for (size_t Size = 0; Size < Complete.size(); ++Size)
      CHECK_FALSE(decodeConfigMessage(Complete.substr(0, Size)).ok());
    CHECK_FALSE(decodeConfigMessage("GET / HTTP/1.1").ok());
  }
}
