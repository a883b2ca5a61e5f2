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
  // Guards against a recursion that ended the process when one caller's
  // requests, sent ahead, were refused one after another.
  SUBCASE("answers 100,000 requests that one caller sends ahead, in turns") {
    constexpr size_t Count = 100'000;
    size_t Answered = 0;
    size_t AnsweredToFlooder = 0;
    size_t MaxBetween = 0;
    server_hooks Refusing = Hooks;
    size_t SinceOther = 0;
    std::vector<std::shared_ptr<server_call>> Held;
    bool Holds = true;
    Refusing.OnCall = [&](const std::shared_ptr<server_call> &Call) {
      if (Holds) {
        Held.push_back(Call);
        return;
      }
      const bool IsOther = Call->Request.Target == "/other";
      SinceOther = IsOther ? 0 : SinceOther + 1;
      MaxBetween = std::max(MaxBetween, SinceOther);
      ++(IsOther ? Answered : AnsweredToFlooder);
      response Refusal;
      Refusal.Status = 401;
      Call->respond(std::move(Refusal));
    };
    const auto Second = *http_server::open(*Loop, "127.0.0.1:0", Refusing, 10);
    raw_peer Flooder(*Loop, Second->address());
    std::string All;
    for (size_t Index = 0; Index < Count; ++Index)
      All += Get("/1");
    Flooder.send(All);
    REQUIRE(Until([&] { return Held.size() == Limits.PipelineLimit; }));
    Loop->runUntil([] { return false; }, milliseconds(300));
    Holds = false;
    for (const auto &Call : Held)
      Call->respond(responseWith("held"));
    raw_peer Other(*Loop, Second->address());
    // The other caller sends a request whenever its last one was answered.
    size_t Sent = 0;
    const bool Finished = Loop->runUntil(
        [&] {
          if (Answered == Sent && AnsweredToFlooder < Count - Held.size()) {
            Other.send(Get("/other"));
            ++Sent;
          }
          return AnsweredToFlooder == Count - Held.size();
        },
        seconds(60));
    CHECK(Finished);
    CHECK(Answered >= 100);
    // A few turns of the loop, and not the whole flood.
    CHECK(MaxBetween <= 1000);
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
  // Guards against a response that is cut one second after it began, while its
  // caller fetches it.
  SUBCASE("sends a last response for as long as its caller fetches it") {
    constexpr size_t BodyBytes = size_t{24} * 1024 * 1024;
    Closing = true;
    Caller.send(Get("/1"));
    REQUIRE(Until([&] { return Calls.size() == 1; }));
    Calls[0]->respond(responseWith(std::string(BodyBytes, '.')));
    const auto Began = Loop->now();
    // A part every 15 ms: about three seconds.
    while (!Caller.Ended && Loop->now() - Began < seconds(20)) {
      Caller.pauseReading(true);
      Loop->runUntil([] { return false; }, milliseconds(15));
      Caller.pauseReading(false);
      const size_t Before = Caller.Received.size();
      Loop->runUntil(
          [&] { return Caller.Ended || Caller.Received.size() > Before; },
          milliseconds(100));
    }
    CHECK(Loop->now() - Began > seconds(2));
    CHECK(Caller.Received.size() > BodyBytes);
  }
  SUBCASE("drops a caller that fetches nothing of the last response") {
    Closing = true;
    Caller.send(Get("/1"));
    REQUIRE(Until([&] { return Calls.size() == 1; }));
    Caller.pauseReading(true);
    Calls[0]->respond(responseWith(std::string(size_t{24} * 1024 * 1024, '.')));
    CHECK(Server->connections() == 1);
    CHECK(
        Loop->runUntil([&] { return Server->connections() == 0; }, seconds(6)));
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
  SUBCASE("refuses at once a body for which it never has the memory") {
    Limits.Shares = magnolia::admission::memory_shares::create(30'000);
    raw_peer Large(*Loop, Server->address());
    Large.send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 20000\r\n\r\n");
    CHECK(Until([&] { return Large.Ended; }));
    CHECK(Large.Received.find("HTTP/1.1 503 ") == 0);
    CHECK(Large.Received.find("Retry-After: 1\r\n") != std::string::npos);
    CHECK(Calls.empty());
  }
  SUBCASE("refuses a body that waits for memory, and not the others") {
    Limits.Shares = magnolia::admission::memory_shares::create(300'000);
    const auto Held = Limits.Shares->open({"reads", 1});
    REQUIRE(Held->tryGrowTo(90'000));
    Held->setComplete();
    raw_peer Large(*Loop, Server->address());
    Large.send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 90000\r\n\r\n" +
               std::string(80'000, '.'));
    raw_peer Small(*Loop, Server->address());
    Small.send(Get("/1"));
    CHECK(Until([&] { return Calls.size() == 1; }));
    CHECK(Until([&] { return Large.Ended; }));
    CHECK(Large.Received.find("HTTP/1.1 503 ") == 0);
    CHECK(Limits.Shares->used() < 91'000);
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
  // Guards against a kept connection that goes by the limits of a configuration
  // that was replaced before the request began.
  SUBCASE("goes by the limits that are in force when a request begins") {
    Limits.IdleTimeout = seconds(2);
    Limits.HeadTimeout = seconds(2);
    const std::string Padding(600, 'p');
    const std::string Body(600, 'b');
    const auto Padded =
        "GET /2 HTTP/1.1\r\nHost: h\r\nX: " + Padding + "\r\n\r\n";
    const auto Post = "POST /2 HTTP/1.1\r\nHost: h\r\nContent-Length: 600"
                      "\r\n\r\n" +
                      Body;
    const auto Responses = [&] {
      size_t Count = 0;
      for (size_t At = Caller.Received.find("HTTP/1.1 200");
           At != std::string::npos;
           At = Caller.Received.find("HTTP/1.1 200", At + 1))
        ++Count;
      return Count;
    };
    const auto ServeFirst = [&] {
      Caller.send(Get("/1"));
      REQUIRE(Until([&] { return Calls.size() == 1; }));
      Calls[0]->respond(responseWith("first"));
      REQUIRE(Until([&] { return Responses() == 1; }));
    };
    SUBCASE("a larger head") {
      ServeFirst();
      Limits.Reader.HeadBytes = 1000;
      Caller.send(Padded);
      CHECK(Until([&] { return Calls.size() == 2; }));
    }
    SUBCASE("a larger body") {
      Limits.Reader.BodyBytes = 500;
      ServeFirst();
      Limits.Reader.BodyBytes = 1000;
      Caller.send(Post);
      CHECK(Until([&] { return Calls.size() == 2; }));
    }
    SUBCASE("a smaller body") {
      ServeFirst();
      Limits.Reader.BodyBytes = 500;
      Caller.send(Post);
      REQUIRE(Until([&] { return Caller.Ended; }));
      CHECK(Caller.Received.find(" 413 ") != std::string::npos);
    }
    SUBCASE("a shorter time for the head") {
      ServeFirst();
      Limits.HeadTimeout = milliseconds(80);
      Caller.send("GET /2 HTTP/1.1\r\nHo");
      REQUIRE(Loop->runUntil([&] { return Caller.Ended; }, milliseconds(800)));
      CHECK(Caller.Received.find(" 408 ") != std::string::npos);
    }
    SUBCASE("not those that change while it is read") {
      ServeFirst();
      Caller.send(Post.substr(0, Post.size() - 10));
      Loop->runUntil([] { return false; }, milliseconds(30));
      Limits.Reader.BodyBytes = 500;
      Caller.send(Post.substr(Post.size() - 10));
      CHECK(Until([&] { return Calls.size() == 2; }));
    }
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
