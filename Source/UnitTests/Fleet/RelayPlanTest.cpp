#include "Fleet/RelayPlan.h"

#include <algorithm>
#include <set>
#include <string>

#include <doctest/doctest.h>

using namespace magnolia::fleet;
using std::chrono::seconds;

namespace {

std::set<std::string> namesOf(const std::vector<const peer *> &Peers) {
  std::set<std::string> Names;
  for (const peer *Peer : Peers)
    Names.insert(Peer->Identity.Name);
  return Names;
}

} // namespace

TEST_CASE("Relays in other failure domains") {
  const boot_time Now(seconds(100));
  peer_hooks Hooks;
  peer_view View("trnava-0", 1, Now, {}, Hooks);
  const auto NameOf = [](const std::string &Domain, int Number) {
    return Domain + "-" + std::to_string(Number);
  };
  const auto IdentityOf = [&](const std::string &Domain, int Number) {
    return instance_identity{NameOf(Domain, Number), Domain, "10.0.0.1:7",
                             "10.0.0.1:8"};
  };
  const auto Receive = [&](const std::string &Domain, int Number,
                           boot_time At) {
    hello_message Hello;
    Hello.Identity = IdentityOf(Domain, Number);
    Hello.Boot = 100 + View.size();
    View.apply(Hello, At);
  };
  const auto Plan = [&](size_t Relays, uint64_t Round) {
    return planRelays(View, "trnava", Relays, Round, Now);
  };
  for (int Number = 0; Number < 5; ++Number)
    for (const char *Domain : {"trnava", "nitra", "senica"})
      Receive(Domain, Number, Now);

  SUBCASE("are one in each, and none in the own domain") {
    const relay_plan Once = Plan(1, 7);
    CHECK(Once.Direct.empty());
    REQUIRE(Once.Relays.size() == 2);
    CHECK(Once.Relays[0]->Identity.FailureDomain == "nitra");
    CHECK(Once.Relays[1]->Identity.FailureDomain == "senica");
  }
  SUBCASE("rotate from message to message") {
    std::set<std::string> Used;
    for (uint64_t Round = 0; Round < 5; ++Round)
      Used.merge(namesOf(Plan(1, Round).Relays));
    CHECK(Used.size() == 10);
  }
  SUBCASE("are two different ones in each for urgent messages") {
    for (uint64_t Round = 0; Round < 5; ++Round)
      CHECK(namesOf(Plan(2, Round).Relays).size() == 4);
  }
  SUBCASE("are reachable instances only") {
    for (int Number = 5; Number < 10; ++Number)
      Receive("nitra", Number, Now - seconds(4));
    View.addRegistered(IdentityOf("nitra", 10));
    for (uint64_t Round = 0; Round < 11; ++Round)
      for (const peer *Relay : Plan(2, Round).Relays)
        CHECK(View.isReachable(*Relay, Now));
  }
  SUBCASE("are none where no instance is reachable: all receive it directly") {
    View.addRegistered(IdentityOf("siliguri", 0));
    View.addRegistered(IdentityOf("siliguri", 1));
    View.addRegistered(IdentityOf("siliguri", 2));
    CHECK(namesOf(Plan(1, 0).Direct) ==
          std::set<std::string>{"siliguri-0", "siliguri-1", "siliguri-2"});
  }
  SUBCASE("are none where there are no more instances than relays") {
    Receive("siliguri", 0, Now);
    Receive("siliguri", 1, Now);
    CHECK(Plan(2, 0).Direct.size() == 2);
    CHECK(Plan(1, 0).Direct.empty());
  }
}
