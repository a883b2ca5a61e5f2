#include <chrono>
#include <future>
#include <string>
#include <unistd.h>

#include <doctest/doctest.h>

#include "UpstreamCalls.h"

using namespace magnolia;
using namespace magnolia::net;
using namespace magnolia::test;
using common::boot_clock;
using common::error_kind;
using common::execution;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_CASE("A complete response is passed on as the target sent it") {
  upstream_pool Pool(upstream_settings{});

  SUBCASE("with a length and percent signs, without hop-by-hop headers") {
    const attempt_result Result = sendOnce(
        Pool,
        respondKeepOpen(makeResponse("Content-Length: 5\r\nX-Part: 50%25%0a\r\n"
                                     "Location: /a%20b\r\nConnection: X-Hop\r\n"
                                     "X-Hop: 1\r\nMagnolia-Draining: 1\r\n",
                                     "hello")));
    CHECK(Result.Outcome.ok());
    CHECK(Result.Outcome.Execution == execution::Ran);
    CHECK(Result.Outcome.TargetDraining);
    CHECK(Result.Body == "hello");
    REQUIRE(Result.Head.ok());
    CHECK(Result.Head->BodyLength == 5);
    CHECK(*findHeader(Result.Head->Headers, "x-part") == "50%25%0a");
    CHECK(*findHeader(Result.Head->Headers, "Location") == "/a%20b");
    CHECK(Result.Head->Headers.size() == 2);
  }

  SUBCASE("in chunks") {
    const attempt_result Result = sendOnce(
        Pool,
        respondKeepOpen(makeResponse("Transfer-Encoding: chunked\r\n",
                                     "3\r\nhel\r\n2\r\nlo\r\n0\r\n\r\n")));
    CHECK(Result.Outcome.ok());
    CHECK(Result.Body == "hello");
    CHECK(!Result.Head->BodyLength.has_value());
    CHECK(Pool.idleCount() == 1);
  }

  SUBCASE("without a body") {
    const attempt_result Result = sendOnce(
        Pool, respondKeepOpen(makeResponse("", "", "304 Not Modified")));
    CHECK(Result.Outcome.ok());
    CHECK(Result.Head->Status == 304);
    CHECK(Pool.idleCount() == 1);
  }

  SUBCASE("larger than the buffer between the threads") {
    const std::string Large(4 << 20, 'y');
    const attempt_result Result = sendOnce(
        Pool,
        respondKeepOpen(makeResponse("Content-Length: 4194304\r\n", Large)));
    CHECK(Result.Outcome.ok());
    CHECK(Result.Body == Large);
  }
}

TEST_CASE("A request reaches the target as the caller sent it") {
  upstream_pool Pool(upstream_settings{});
  std::string Head;
  std::string Body;
  scripted_server Server({[&](scripted_connection &Connection) {
    Head = Connection.readHead();
    const bool Chunked = Head.find("chunked") != std::string::npos;
    Body = Connection.readBytes(Chunked ? 15 : 5);
    Connection.send(HelloResponse);
  }});
  upstream_request Request = requestTo("/a%2Fb?q=%20");
  Request.Method = "POST";
  Request.Headers = {{"X-Note", "50%25"},        {"Content-Length", "77"},
                     {"Transfer-Encoding", "x"}, {"Magnolia-Request-Id", "x"},
                     {"Host", "shop.example"},   {"User-Agent", "falcon"},
                     {"Accept", "text/plain"}};

  SUBCASE("with a body in memory") {
    Request.Body = "glove";
    CHECK(send(Pool, Request, Server.address()).Outcome.ok());
    CHECK(Body == "glove");
    CHECK(Head.find("Content-Length: 5\r\n") != std::string::npos);
    CHECK(Head.find("Content-Length: 77") == std::string::npos);
    CHECK(Head.find("Content-Type") == std::string::npos);
  }

  SUBCASE("with a streamed body of unknown length") {
    bool Sent = false;
    Request.ReadBody = [&](absl::Span<char> Buffer) -> absl::StatusOr<size_t> {
      const size_t Count = Sent ? 0 : 5;
      std::fill_n(Buffer.begin(), Count, 'g');
      Sent = true;
      return Count;
    };
    CHECK(send(Pool, Request, Server.address()).Outcome.ok());
    CHECK(Body == "5\r\nggggg\r\n0\r\n\r\n");
  }

  CHECK(Head.find("POST /a%2Fb?q=%20 HTTP/1.1\r\n") == 0);
  CHECK(Head.find("X-Note: 50%25\r\n") != std::string::npos);
  CHECK(Head.find("Host: shop.example\r\n") != std::string::npos);
  CHECK(Head.find("User-Agent: falcon\r\n") != std::string::npos);
  CHECK(Head.find("Magnolia-Request-Id: id-1\r\n") != std::string::npos);
  CHECK(Head.find("Magnolia-Deadline-Ms: ") != std::string::npos);
}

TEST_CASE("A connection is reused only in a known state") {
  upstream_pool Pool(upstream_settings{});
  upstream_request Request = requestTo("/");
  Request.Connection = connection_choice::ReuseAllowed;
  const auto ConnectionsForTwoRequests = [&](const std::string &Response) {
    scripted_server Server({respondKeepOpen(Response)});
    const attempt_result First = send(Pool, Request, Server.address());
    const attempt_result Second = send(Pool, Request, Server.address());
    CHECK(First.Outcome.ok());
    CHECK(Second.Outcome.ok());
    CHECK(First.Body == Second.Body);
    const int Connections = Server.connections();
    CHECK(Second.Outcome.ConnectionReused == (Connections == 1));
    Pool.closeIdle();
    return Connections;
  };

  SUBCASE("after a complete response") {
    CHECK(ConnectionsForTwoRequests(HelloResponse) == 1);
  }

  SUBCASE("but not for a request that requires a new connection") {
    int Kept = -1;
    scripted_server Server({[&](scripted_connection &Connection) {
                              Connection.readHead();
                              Connection.send(HelloResponse);
                              Kept = Connection.release();
                            },
                            respondWith(HelloResponse)});
    CHECK(send(Pool, Request, Server.address()).Outcome.ok());
    CHECK(Pool.idleCount() == 1);
    Request.Connection = connection_choice::FreshOnly;
    Request.Deadline = boot_clock::now() + seconds(5);
    CHECK(send(Pool, Request, Server.address()).Body == "hello");
    CHECK(Server.connections() == 2);
    ::close(Kept);
  }

  SUBCASE("but not with bytes after the response") {
    scripted_server Server(
        {respondKeepOpen(HelloResponse + "x"), respondWith(HelloResponse)});
    CHECK(send(Pool, Request, Server.address()).Outcome.ok());
    CHECK(send(Pool, Request, Server.address()).Body == "hello");
    CHECK(Server.connections() == 2);
  }

  SUBCASE("but not if bytes are received while it is idle") {
    std::promise<void> ConnectionIdle;
    std::promise<void> Sent;
    scripted_server Server({[&](scripted_connection &Connection) {
                              Connection.readHead();
                              Connection.send(HelloResponse);
                              ConnectionIdle.get_future().wait();
                              Connection.send(HelloResponse);
                              Sent.set_value();
                            },
                            respondWith(HelloResponse)});
    CHECK(send(Pool, Request, Server.address()).Outcome.ok());
    CHECK(Pool.idleCount() == 1);
    ConnectionIdle.set_value();
    Sent.get_future().wait();
    CHECK(send(Pool, Request, Server.address()).Outcome.ok());
    CHECK(Server.connections() == 2);
  }

  SUBCASE("but not if the target requests to close it") {
    scripted_server Server({respondWith(
        makeResponse("Content-Length: 5\r\nConnection: Close\r\n", "hello"))});
    send(Pool, Request, Server.address());
    CHECK(Pool.idleCount() == 0);
  }
}

TEST_CASE("The target is disconnected when the caller cancels") {
  upstream_pool Pool(upstream_settings{});
  std::promise<void> Arrived;
  std::promise<bool> Closed;
  std::string Bytes;
  scripted_server Server({[&](scripted_connection &Connection) {
    Connection.readHead();
    Connection.send(Bytes);
    Arrived.set_value();
    Closed.set_value(Connection.awaitClose());
  }});

  SUBCASE("before the response") {
    response_stream Stream = Pool.start(requestTo("/"), Server.address());
    Arrived.get_future().wait();
    Stream.cancel();
    CHECK(Closed.get_future().get());
    const attempt_result Result = readToEnd(std::move(Stream));
    checkFailure(Result, error_kind::CallerGone, execution::Unknown);
  }

  SUBCASE("during the response, by destroying the stream") {
    Bytes = makeResponse("Content-Length: 9\r\n", "hello");
    {
      response_stream Stream = Pool.start(requestTo("/"), Server.address());
      CHECK(Stream.awaitHead(farDeadline()).ok());
    }
    CHECK(Closed.get_future().get());
  }

  CHECK(Pool.idleCount() == 0);
}
