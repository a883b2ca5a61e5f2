#include "Net/Peer/PeerSession.h"

#include <vector>

#include <doctest/doctest.h>

using namespace magnolia;
using namespace magnolia::net;

namespace {

constexpr size_t AllOutput = size_t{64} * 1024 * 1024;

/// A client and a server session connected without sockets.
struct session_pair {
  explicit session_pair(const peer_options &ClientOptions,
                        const peer_options &ServerOptions) {
    session_hooks ClientHooks;
    ClientHooks.OnCompleted = [this](bool Acknowledged) {
      ++(Acknowledged ? Delivered : Undelivered);
    };
    session_hooks ServerHooks;
    ServerHooks.OnMessage = [this](peer_message Message) {
      Messages.push_back(std::move(Message));
    };
    ServerHooks.OnRejected = [this] { ++Rejected; };
    Client = peer_session::makeClient(ClientOptions, std::move(ClientHooks));
    Server = peer_session::makeServer(ServerOptions, std::move(ServerHooks));
  }

  bool toServer() {
    std::string Bytes;
    return Client->fill(Bytes, AllOutput) && Server->receive(Bytes);
  }

  bool toClient() {
    std::string Bytes;
    return Server->fill(Bytes, AllOutput) && Client->receive(Bytes);
  }

  bool exchange() {
    bool Ok = true;
    for (int Round = 0; Round < 8; ++Round)
      Ok = toServer() && toClient() && Ok;
    return Ok;
  }

  bool submit(std::string_view From, std::string Body) {
    return Client->submit(From, "quota", std::move(Body), {});
  }

  std::unique_ptr<peer_session> Client;
  std::unique_ptr<peer_session> Server;
  std::vector<peer_message> Messages;
  size_t Delivered = 0;
  size_t Undelivered = 0;
  size_t Rejected = 0;
};

} // namespace

TEST_CASE("A server session has a client that") {
  peer_options LargeLimits;
  LargeLimits.MaxBodyBytes = size_t{4} * 1024 * 1024;
  LargeLimits.MaxStreams = 1000;
  const peer_options Limits;
  session_pair Pair(LargeLimits, Limits);

  SUBCASE("keeps the limits: its messages are received completely") {
    const std::string Body(Limits.MaxBodyBytes, '\0');
    REQUIRE(Pair.submit("trnava-1", Body));
    REQUIRE(Pair.submit("trnava-1", ""));
    CHECK(Pair.exchange());
    REQUIRE(Pair.Messages.size() == 2);
    CHECK(Pair.Delivered == 2);
    CHECK(Pair.Messages[0].Body.size() + Pair.Messages[1].Body.size() ==
          Body.size());
    CHECK(Pair.Messages[0].From == "trnava-1");
    CHECK(Pair.Messages[0].Type == "quota");
  }

  SUBCASE("sends a body that is too long: only this message is rejected") {
    REQUIRE(Pair.submit("trnava-1", std::string(Limits.MaxBodyBytes + 1, 'x')));
    CHECK(Pair.exchange());
    CHECK(Pair.Messages.empty());
    CHECK(Pair.Rejected == 1);
    CHECK(Pair.Undelivered == 1);
    REQUIRE(Pair.submit("trnava-1", "next"));
    CHECK(Pair.exchange());
    CHECK(Pair.Messages.size() == 1);
  }

  SUBCASE("sends oversized headers: only this stream is reset") {
    REQUIRE(Pair.submit(std::string(Limits.MaxHeaderBytes + 1, 'n'), "a"));
    CHECK(Pair.exchange());
    CHECK(Pair.Messages.empty());
    CHECK(Pair.Rejected == 1);
    REQUIRE(Pair.submit("trnava-1", "next"));
    CHECK(Pair.exchange());
    CHECK(Pair.Messages.size() == 1);
  }

  SUBCASE("sends no sender name: the message is rejected") {
    REQUIRE(Pair.submit("", "a"));
    CHECK(Pair.exchange());
    CHECK(Pair.Messages.empty());
    CHECK(Pair.Rejected == 1);
  }

  SUBCASE("opens many streams that never end: few stay open") {
    const std::string Unfinished(Limits.MaxBodyBytes * 2, 'x');
    for (int Count = 0; Count < 500; ++Count)
      Pair.submit("trnava-1", Unfinished);
    Pair.toServer();
    CHECK(Pair.Server->openStreams() > 0);
    CHECK(Pair.Server->openStreams() <= Limits.MaxStreams);
    CHECK(Pair.Messages.empty());
  }

  SUBCASE("uses another protocol: the session ends") {
    CHECK_FALSE(Pair.Server->receive("GET / HTTP/1.1\r\nHost: a\r\n\r\n"));
  }
}
