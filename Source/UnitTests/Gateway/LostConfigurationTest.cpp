#include "Gateway/LostConfiguration.h"

#include <doctest/doctest.h>

#include "PeerServer.h"

using namespace magnolia;
using namespace magnolia::gateway;
using namespace magnolia::gateway::testing;
using std::chrono::milliseconds;

// Guards against an earlier configuration, from the copy of which the store was
// restored, that stays in force at an instance that starts, because the first
// peer that named the later one fails.
TEST_CASE("A configuration that the store lost is fetched from another peer "
          "when the first one fails") {
  constexpr std::string_view Path = "/configuration-in-force";
  const fleet::configuration_offer Lost = {12, 77, {1, 44}};
  const auto Loop = *event::event_loop::create();
  settings Settings;
  Settings.Identity = {"own", "Senica", "", ""};
  fleet::accepted_configuration Accepted;
  Accepted.offer({9, 55, {2, 43}}, fleet::offer_source::Store);
  std::optional<lost_configuration> Fetched;
  fleet::peer_hooks PeerHooks;
  PeerHooks.OnUpdate = [&](const fleet::peer &Peer,
                           const fleet::update_message &Update) {
    Fetched->onUpdate(Peer, Update);
  };
  fleet::peer_view Peers("own", 1, Loop->now(), {}, std::move(PeerHooks));
  Fetched.emplace(*Loop, Settings, Peers, Accepted,
                  [&](const stored_row &Row, fleet::store_position Position) {
                    Accepted.offer(
                        {12, Row.Value == "later" ? uint64_t{77} : 1, Position},
                        fleet::offer_source::Peer);
                  });
  std::vector<std::unique_ptr<peer_server>> Servers;
  const auto AddPeer = [&](peer_behavior Behavior) {
    Servers.push_back(std::make_unique<peer_server>(*Loop, Behavior));
    Servers.back()->setContent(
        std::string(Path),
        fleet::encodeContent(
            {Lost.Position, true, {{"a", "later", 44, false}}}));
    fleet::hello_message Hello;
    Hello.Boot = Servers.size() + 1;
    Hello.Identity = {"peer-" + std::to_string(Hello.Boot), "Senica",
                      Servers.back()->address(), ""};
    Peers.apply(Hello, Loop->now());
    fleet::update_message Update;
    Update.Boot = Hello.Boot;
    Update.Number = 1;
    Update.LostConfiguration = Lost;
    Peers.apply(Update, Loop->now());
  };
  const auto IsInForce = [&] { return Accepted.inForce()->Version == 12; };

  SUBCASE("one that has lost its power") { AddPeer(peer_behavior::Silent); }
  SUBCASE("one that sends half") { AddPeer(peer_behavior::SendsHalf); }
  SUBCASE("one that has another one by now") {
    AddPeer(peer_behavior::HasNothing);
  }
  AddPeer(peer_behavior::Serves);
  CHECK(Loop->runUntil(IsInForce, milliseconds(600)));
}
