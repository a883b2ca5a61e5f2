#include "Net/Message/HttpClient.h"

#include <memory>
#include <vector>

#include <doctest/doctest.h>

#include "Net/Event/Address.h"
#include "Net/Event/Listener.h"
#include "RawPeer.h"

using namespace magnolia::message;
using magnolia::message::testing::raw_peer;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_CASE("A client connection") {
  const auto Loop = *magnolia::event::event_loop::create();
  std::unique_ptr<raw_peer> Server;
  const auto Listener = *magnolia::event::listener::open(
      *Loop, "127.0.0.1:0", [&](int Descriptor) {
        Server = std::make_unique<raw_peer>(*Loop, Descriptor);
      });
  const auto Client = client_connection::connect(
      *Loop, *magnolia::event::parseAddress(Listener->address()), {});
  REQUIRE(Client != nullptr);
  std::vector<response> Responses;
  std::vector<exchange_failure> Failures;
  int IdleEnds = 0;
  client_hooks Hooks;
  Hooks.OnResponse = [&](response Response) {
    Responses.push_back(std::move(Response));
  };
  Hooks.OnFailure = [&](exchange_failure Failure) {
    Failures.push_back(Failure);
  };
  Hooks.OnIdleEnd = [&] { ++IdleEnds; };
  Client->setHooks(Hooks);
  const auto Until = [&](const std::function<bool()> &Done) {
    return Loop->runUntil(Done, seconds(2));
  };
  REQUIRE(Until([&] { return Server && Client->isConnected(); }));
  Client->send("GET / HTTP/1.1\r\n\r\n", false);
  REQUIRE(Until([&] { return !Server->Received.empty(); }));

  SUBCASE("is reusable after a complete response") {
    Server->send("HTTP/1.1 200 OK\r\nKeep-Alive: timeout=7\r\n"
                 "Content-Length: 2\r\n\r\nab");
    REQUIRE(Until([&] { return Responses.size() == 1; }));
    CHECK(Client->reusable());
    CHECK(Client->serverIdleTimeout() == seconds(7));

    SUBCASE("until it receives unsolicited bytes") {
      Server->send("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
      REQUIRE(Until([&] { return IdleEnds == 1; }));
      CHECK_FALSE(Client->reusable());
      CHECK(Responses.size() == 1);
    }
    SUBCASE("until the server closes it") {
      Server->close();
      REQUIRE(Until([&] { return IdleEnds == 1; }));
      CHECK_FALSE(Client->reusable());
      CHECK(Failures.empty());
    }
  }
  SUBCASE("is not reusable when bytes follow the response") {
    Server->send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nabHTTP/1.1");
    REQUIRE(Until([&] { return Responses.size() == 1; }));
    CHECK_FALSE(Client->reusable());
  }
  SUBCASE("is not reusable after Connection: close") {
    Server->send(
        "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n");
    REQUIRE(Until([&] { return Responses.size() == 1; }));
    CHECK_FALSE(Client->reusable());
  }
  SUBCASE("completes a response without a length when the server closes") {
    Server->send("HTTP/1.1 200 OK\r\n\r\nabc");
    Server->finish();
    REQUIRE(Until([&] { return Responses.size() == 1; }));
    CHECK(Responses[0].Body == "abc");
    CHECK_FALSE(Client->reusable());
  }
  SUBCASE("fails at a reset in a response without a length") {
    Server->send("HTTP/1.1 200 OK\r\n\r\nabc");
    Loop->runUntil([] { return false; }, milliseconds(20));
    Server->reset();
    REQUIRE(Until([&] { return Failures.size() == 1; }));
    CHECK(Failures[0] == exchange_failure::Broken);
    CHECK(Responses.empty());
  }
  SUBCASE("fails when the response is truncated") {
    Server->send("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc");
    Server->close();
    REQUIRE(Until([&] { return Failures.size() == 1; }));
    CHECK(Responses.empty());
  }
  SUBCASE("fails when the bytes are not a response") {
    Server->send("garbage garbage\r\n\r\n");
    REQUIRE(Until([&] { return Failures.size() == 1; }));
    CHECK(Failures[0] == exchange_failure::Malformed);
  }
  SUBCASE("keeps waiting after a response to another request") {
    Hooks.OnResponse = [&](response Response) {
      Responses.push_back(std::move(Response));
      if (Responses.size() == 1)
        Client->keepWaiting();
    };
    Client->setHooks(Hooks);
    Server->send("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nold"
                 "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nnew");
    REQUIRE(Until([&] { return Responses.size() == 2; }));
    CHECK(Responses[1].Body == "new");
    CHECK_FALSE(Client->reusable());
  }
  SUBCASE("skips interim responses") {
    Server->send("HTTP/1.1 103 Early Hints\r\n\r\n"
                 "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    REQUIRE(Until([&] { return Responses.size() == 1; }));
    CHECK(Responses[0].Status == 200);
  }
}
