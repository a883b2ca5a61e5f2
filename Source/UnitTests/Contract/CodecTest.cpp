#include "Contract/Codec.h"

#include <algorithm>

#include <doctest/doctest.h>

#include "Contract/Diff.h"

using namespace magnolia::contract;

namespace {

configuration makeConfiguration() {
  configuration Configuration;
  Configuration.Version = 9;
  Configuration.Manifest.Workspaces = {{"riders", 0.1, 3}, {"clubs", 20, 40}};
  Configuration.Manifest.Services = {
      {"orders",
       0.6,
       64,
       {{"b", "127.0.0.1:2", "nitra", 6, true},
        {"a", "127.0.0.1:1", "senica", 4, false}}}};
  Configuration.Manifest.Routes = {{"orders", "/orders", "orders",
                                    route_access::Open, true,
                                    std::chrono::milliseconds(1500)}};
  Configuration.Keys = {{"k2", "d2", "clubs", true}, {"k1", "d1", "riders"}};
  return Configuration;
}

} // namespace

TEST_CASE("An encoded configuration") {
  const configuration Original = makeConfiguration();
  const std::string Bytes = encode(Original);

  SUBCASE("is decoded to the same content and encoded to the same bytes") {
    const auto Decoded = decode(Bytes);
    REQUIRE(Decoded.ok());
    CHECK(Decoded->Version == 9);
    CHECK(diff(Original, *Decoded).empty());
    CHECK(encode(*Decoded) == Bytes);
  }

  SUBCASE("does not depend on the order of its entries") {
    configuration Shuffled = Original;
    std::reverse(Shuffled.Manifest.Workspaces.begin(),
                 Shuffled.Manifest.Workspaces.end());
    std::reverse(Shuffled.Keys.begin(), Shuffled.Keys.end());
    CHECK(encode(Shuffled) == Bytes);
  }

  SUBCASE("that is damaged or has another structure is DataLoss") {
    for (const std::string &Text :
         {std::string("{"), std::string("[]"), std::string("{}"),
          Bytes.substr(0, Bytes.size() / 2)})
      CHECK(absl::IsDataLoss(decode(Text).status()));
  }
}

TEST_CASE("A diff") {
  const configuration Old = makeConfiguration();
  configuration New = Old;

  SUBCASE("of equal configurations is empty") { CHECK(diff(Old, New).empty()); }

  SUBCASE("lists added, removed and changed entries") {
    New.Manifest.Workspaces[0].Rate = 0.2;
    New.Manifest.Workspaces.pop_back();
    New.Manifest.Services[0].Targets.push_back(
        {"c", "127.0.0.1:3", "nitra", 2, false});
    const auto Changes = diff(Old, New);
    REQUIRE(Changes.size() == 3);
    CHECK(toText(Changes[0]) == "- workspace clubs: burst 40, rate 20");
    CHECK(toText(Changes[1]) == "~ workspace riders: rate 0.1 -> 0.2");
    CHECK(toText(Changes[2]) ==
          "+ target orders/c: address 127.0.0.1:3, draining no, "
          "failure_domain nitra, slots 2");
  }
}
