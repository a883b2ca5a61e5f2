#include "Net/Message/MessageReader.h"

#include <algorithm>

#include <doctest/doctest.h>

using namespace magnolia::message;

namespace {

message_reader readerOf(message_kind Kind) {
  reader_limits Limits;
  Limits.HeadBytes = 200;
  Limits.BodyBytes = 10;
  return {Kind, Limits};
}

read_error errorOf(std::string_view Bytes) {
  message_reader Reader = readerOf(message_kind::Request);
  Reader.feed(Bytes);
  return Reader.error();
}

} // namespace

TEST_CASE("A reader of requests") {
  message_reader Reader = readerOf(message_kind::Request);

  SUBCASE("reads one message at a time") {
    const std::string_view Bytes = "GET /a HTTP/1.1\r\nHost: h\r\n\r\n"
                                   "GET /b HTTP/1.1\r\nHost: h\r\n\r\n";
    const size_t Consumed = Reader.feed(Bytes);
    REQUIRE(Reader.complete());
    CHECK(Consumed == Bytes.size() / 2);
    CHECK(Reader.takeRequest().Target == "/a");
    CHECK(Reader.feed(Bytes.substr(Consumed)) == Bytes.size() / 2);
    CHECK(Reader.takeRequest().Target == "/b");
  }
  SUBCASE("reads them byte by byte") {
    for (const char Byte :
         std::string("POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: "
                     "chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"))
      Reader.feed({&Byte, 1});
    REQUIRE(Reader.complete());
    const request Request = Reader.takeRequest();
    CHECK(Request.Method == "POST");
    CHECK(Request.Body == "abcde");
    CHECK(Request.Headers.find("host") == "h");
  }
  SUBCASE("reports whether the connection is kept alive") {
    Reader.feed("GET / HTTP/1.1\r\nConnection: close\r\n\r\n");
    CHECK_FALSE(Reader.keepsAlive());
  }
  SUBCASE("refuses ambiguous messages") {
    CHECK(errorOf("POST / HTTP/1.1\r\nContent-Length: 3\r\n"
                  "Transfer-Encoding: chunked\r\n\r\n") ==
          read_error::Malformed);
    CHECK(errorOf("POST / HTTP/1.1\r\nContent-Length: 3\r\n"
                  "Content-Length: 4\r\n\r\n") == read_error::Malformed);
    CHECK(errorOf("GET / HTTP/1.1\r\nBad Name: 1\r\n\r\n") ==
          read_error::Malformed);
    CHECK(errorOf("nonsense\r\n\r\n") == read_error::Malformed);
  }
  SUBCASE("enforces its limits") {
    CHECK(errorOf("GET / HTTP/1.1\r\nA: " + std::string(300, 'x')) ==
          read_error::HeadTooLarge);
    CHECK(errorOf("POST / HTTP/1.1\r\nContent-Length: 11\r\n\r\n") ==
          read_error::BodyTooLarge);
    CHECK(errorOf("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
                  "b\r\n12345678901\r\n") == read_error::BodyTooLarge);
  }
}

// Guards against bodies that hold twice the memory that they are accounted for.
TEST_CASE("The body of a long response") {
  constexpr size_t Announced = 1'000'000;
  message_reader Reader(message_kind::Response, {});
  const std::string Part(16'000, '.');
  const auto FeedParts = [&](size_t Count) {
    for (size_t Index = 0; Index < Count; ++Index)
      Reader.feed(Part);
  };

  SUBCASE("has room for what its head announces and no more") {
    Reader.feed("HTTP/1.1 200 OK\r\nContent-Length: 1000000\r\n\r\nab");
    Reader.reserveAnnounced();
    CHECK(Reader.bodyCapacity() == Announced);
    FeedParts(62);
    CHECK(Reader.bodyCapacity() == Announced);
    Reader.feed(std::string(Announced - 2 - 62 * Part.size(), '.'));
    REQUIRE(Reader.complete());
    const std::string Body = Reader.takeResponse().Body;
    CHECK(Body.size() == Announced);
    CHECK(Body.substr(0, 3) == "ab.");
  }
  SUBCASE("has room for a quarter more where its length is unknown") {
    Reader.feed("HTTP/1.1 200 OK\r\n\r\n");
    for (size_t Count = 0; Count < 200; ++Count) {
      FeedParts(1);
      CHECK(Reader.bodyCapacity() <=
            std::max<size_t>(Reader.heldBytes() * 5 / 4, size_t{128} * 1024));
    }
    Reader.finish();
    CHECK(Reader.takeResponse().Body.size() == 200 * Part.size());
  }
}

TEST_CASE("A reader of responses") {
  message_reader Reader = readerOf(message_kind::Response);

  SUBCASE("completes one without a length at the end of the stream") {
    Reader.feed("HTTP/1.1 200 OK\r\n\r\nabc");
    CHECK_FALSE(Reader.complete());
    Reader.finish();
    REQUIRE(Reader.complete());
    CHECK_FALSE(Reader.keepsAlive());
    CHECK(Reader.takeResponse().Body == "abc");
  }
  SUBCASE("refuses any other one that is truncated") {
    Reader.feed("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nabc");
    Reader.finish();
    CHECK_FALSE(Reader.complete());
    CHECK(Reader.error() == read_error::Malformed);
  }
  SUBCASE("expects no body in a response to HEAD") {
    Reader.expectNoBody(true);
    Reader.feed("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n");
    CHECK(Reader.complete());
  }
  SUBCASE("refuses bytes that are not a response") {
    Reader.feed("\x01\x02garbage");
    CHECK(Reader.error() == read_error::Malformed);
  }
}
