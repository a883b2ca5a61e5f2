#include "Net/Message/HttpServer.h"

#include <memory>
#include <vector>

#include <doctest/doctest.h>

#include "RawPeer.h"

using namespace magnolia::message;
using magnolia::message::testing::raw_peer;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

response responseWith(std::string Text) {
  response Response;
  Response.Status = 200;
  Response.Body = std::move(Text);
  return Response;
}

} // namespace

TEST_CASE("A server") {
  const auto Loop = *magnolia::event::event_loop::create();
  std::vector<std::shared_ptr<server_call>> Calls;
  bool Closing = false;
  server_limits Limits;
  Limits.Reader.HeadBytes = 500;
  Limits.HeadTimeout = milliseconds(80);
  Limits.IdleTimeout = milliseconds(150);
  Limits.PipelineLimit = 3;
  server_hooks Hooks;
  Hooks.OnCall = [&](const auto &Call) { Calls.push_back(Call); };
  Hooks.Limits = [&] { return Limits; };
  Hooks.Closing = [&] { return Closing; };
  const auto Server = *http_server::open(*Loop, "127.0.0.1:0", Hooks, 10);
  raw_peer Caller(*Loop, Server->address());
  const auto Until = [&](const std::function<bool()> &Done) {
    return Loop->runUntil(Done, seconds(2));
  };
  const auto Get = [](const std::string &Path) {
    return "GET " + Path + " HTTP/1.1\r\nHost: h\r\n\r\n";
  };

  SUBCASE("serves pipelined requests concurrently and responds in order") {
    Caller.send(Get("/1") + Get("/2") + Get("/3"));
    REQUIRE(Until([&] { return Calls.size() == 3; }));
    Calls[2]->respond(responseWith("third"));
    Calls[1]->respond(responseWith("second"));
    Loop->runUntil([] { return false; }, milliseconds(30));
    CHECK(Caller.Received.empty());
    Calls[0]->respond(responseWith("first"));
    REQUIRE(Until(
        [&] { return Caller.Received.find("third") != std::string::npos; }));
    CHECK(Caller.Received.find("first") < Caller.Received.find("second"));
    CHECK(Caller.Received.find("second") < Caller.Received.find("third"));
  }
  SUBCASE("continues reading when it is below its pipeline limit again") {
    Caller.send(Get("/1") + Get("/2") + Get("/3") + Get("/4"));
    REQUIRE(Until([&] { return Calls.size() == 3; }));
    CHECK_FALSE(
        Loop->runUntil([&] { return Calls.size() == 4; }, milliseconds(30)));
    Calls[0]->respond(responseWith("first"));
    CHECK(Until([&] { return Calls.size() == 4; }));
  }
  SUBCASE("detects at once that a caller disconnects") {
    bool Disconnected = false;
    Caller.send(Get("/1"));
    REQUIRE(Until([&] { return Calls.size() == 1; }));
    Calls[0]->OnDisconnect = [&] { Disconnected = true; };
    Caller.close();
    CHECK(Until([&] { return Disconnected; }));
    Calls[0]->respond(responseWith("too late"));
    CHECK(Server->connections() == 0);
  }
  SUBCASE("sends Connection: close with the last response while it closes") {
    Closing = true;
    Caller.send(Get("/1") + Get("/2"));
    REQUIRE(Until([&] { return Calls.size() == 2; }));
    Calls[0]->respond(responseWith("first"));
    Calls[1]->respond(responseWith("second"));
    REQUIRE(Until([&] { return Caller.Ended; }));
    const size_t ClosePosition = Caller.Received.find("Connection: close");
    CHECK(ClosePosition != std::string::npos);
    CHECK(ClosePosition > Caller.Received.find("first"));
  }
  SUBCASE("keeps a connection with a request open when it closes idle ones") {
    Caller.send(Get("/1"));
    REQUIRE(Until([&] { return Calls.size() == 1; }));
    Server->closeIdleConnections();
    Calls[0]->respond(responseWith("first"));
    CHECK(Until(
        [&] { return Caller.Received.find("first") != std::string::npos; }));
    Server->closeIdleConnections();
    CHECK(Until([&] { return Caller.Ended; }));
  }
  SUBCASE("responds to a malformed request and closes") {
    Caller.send("nonsense\r\n\r\n");
    REQUIRE(Until([&] { return Caller.Ended; }));
    CHECK(Caller.Received.starts_with("HTTP/1.1 400 "));
    CHECK(Calls.empty());
  }
  SUBCASE("responds to a head that is too large") {
    Caller.send("GET / HTTP/1.1\r\nA: " + std::string(600, 'x') + "\r\n\r\n");
    REQUIRE(Until([&] { return Caller.Ended; }));
    CHECK(Caller.Received.starts_with("HTTP/1.1 431 "));
  }
  SUBCASE("responds with a timeout to an incomplete head") {
    Caller.send("GET / HTTP/1.1\r\nHost");
    REQUIRE(Until([&] { return Caller.Ended; }));
    CHECK(Caller.Received.starts_with("HTTP/1.1 408 "));
  }
  SUBCASE("closes a connection that stays idle") {
    CHECK(Until([&] { return Caller.Ended; }));
    CHECK(Caller.Received.empty());
    CHECK(Server->connections() == 0);
  }
  SUBCASE("sends 100 Continue to a caller that waits before its body") {
    Caller.send("POST / HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\n"
                "Content-Length: 2\r\n\r\n");
    REQUIRE(
        Until([&] { return Caller.Received.starts_with("HTTP/1.1 100 "); }));
    Caller.send("ab");
    REQUIRE(Until([&] { return Calls.size() == 1; }));
    CHECK(Calls[0]->Request.Body == "ab");
  }
}
