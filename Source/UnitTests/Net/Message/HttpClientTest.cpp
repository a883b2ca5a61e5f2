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

TEST_CASE("A server that sends bytes without end") {
  const auto Loop = *magnolia::event::event_loop::create();
  std::unique_ptr<raw_peer> Server;
  const auto Listener = *magnolia::event::listener::open(
      *Loop, "127.0.0.1:0", [&](int Descriptor) {
        Server = std::make_unique<raw_peer>(*Loop, Descriptor);
      });
  const auto Shares = magnolia::admission::memory_shares::create(300'000);
  reader_limits Limits;
  Limits.HeadBytes = size_t{20} * 1000;
  Limits.BodyBytes = size_t{60} * 1000;
  const auto Client = client_connection::connect(
      *Loop, *magnolia::event::parseAddress(Listener->address()), Limits,
      Shares, {"reads", 1});
  std::vector<exchange_failure> Failures;
  size_t Responses = 0;
  client_hooks Hooks;
  Hooks.OnResponse = [&](const response & /*Response*/) {
    ++Responses;
    Client->keepWaiting();
  };
  // As the owner of a connection does after a failure.
  Hooks.OnFailure = [&](exchange_failure Failure) {
    Failures.push_back(Failure);
    Client->close();
  };
  Client->setHooks(Hooks);
  REQUIRE(Loop->runUntil([&] { return Server && Client->isConnected(); },
                         seconds(2)));
  Client->send("GET / HTTP/1.1\r\n\r\n", false);
  // The failure must come before twenty times the limits were sent.
  const auto SendOn = [&](const std::string &Bytes) {
    size_t Sent = 0;
    while (Failures.empty() && Sent < size_t{2} * 1000 * 1000) {
      Server->send(Bytes);
      Sent += Bytes.size();
      Loop->runUntil([] { return false; }, milliseconds(1));
    }
    REQUIRE(Failures.size() == 1);
    CHECK_FALSE(Client->isOpen());
    return Failures[0];
  };

  SUBCASE("in place of a status line") {
    CHECK(SendOn(std::string(1000, 'x')) == exchange_failure::Malformed);
  }
  SUBCASE("as headers") {
    Server->send("HTTP/1.1 200 OK\r\n");
    CHECK(SendOn("a: " + std::string(1000, 'x') + "\r\n") ==
          exchange_failure::TooLarge);
  }
  SUBCASE("as the value of one header") {
    Server->send("HTTP/1.1 200 OK\r\na: ");
    CHECK(SendOn(std::string(1000, 'x')) == exchange_failure::TooLarge);
  }
  SUBCASE("as interim responses") {
    CHECK(SendOn("HTTP/1.1 103 Early Hints\r\n\r\n") ==
          exchange_failure::Malformed);
  }
  SUBCASE("as responses to other requests") {
    CHECK(SendOn("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na") ==
          exchange_failure::Malformed);
    CHECK(Responses <= 20);
  }
  SUBCASE("as a body without a length") {
    Server->send("HTTP/1.1 200 OK\r\n\r\n");
    CHECK(SendOn(std::string(1000, 'x')) == exchange_failure::TooLarge);
  }
  SUBCASE("as chunks") {
    Server->send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    CHECK(SendOn("3e8\r\n" + std::string(1000, 'x') + "\r\n") ==
          exchange_failure::TooLarge);
  }
  SUBCASE("as the extension of a chunk") {
    Server->send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;");
    CHECK(SendOn(std::string(1000, 'x')) == exchange_failure::TooLarge);
  }
  SUBCASE("as trailers") {
    Server->send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                 "0\r\n");
    CHECK(SendOn("a: " + std::string(1000, 'x') + "\r\n") ==
          exchange_failure::TooLarge);
  }
  SUBCASE("while other responses hold most of the memory for messages") {
    const auto Other = Shares->open({"orders", 2});
    REQUIRE(Other->tryGrowTo(90'000));
    Other->setComplete();
    const auto Second = Shares->open({"orders", 2});
    REQUIRE(Second->tryGrowTo(60'000));
    Server->send("HTTP/1.1 200 OK\r\n\r\n");
    CHECK(SendOn(std::string(1000, 'x')) == exchange_failure::TooLarge);
    CHECK(Shares->used() == 150'000);
  }
}
