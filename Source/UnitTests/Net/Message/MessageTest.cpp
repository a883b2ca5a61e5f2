#include "Net/Message/Message.h"

#include <doctest/doctest.h>

using namespace magnolia::message;

TEST_CASE("Headers") {
  header_list Headers;
  Headers.add("Host", "a.example");
  Headers.add("Connection", "close, X-Hop");
  Headers.add("X-Hop", "1");
  Headers.add("Keep-Alive", "timeout=5");
  Headers.add("Content-Length", "7");
  Headers.add("X-End", "2");

  SUBCASE("are found case-insensitively") {
    CHECK(Headers.find("hOsT") == "a.example");
    CHECK_FALSE(Headers.find("Hos").has_value());
    CHECK(Headers.hasToken("connection", "x-hop"));
    CHECK_FALSE(Headers.hasToken("connection", "x"));
  }
  SUBCASE("that are hop-by-hop are removed") {
    removeHopByHopHeaders(Headers);
    REQUIRE(Headers.Entries.size() == 2);
    CHECK(Headers.Entries[0].Name == "Host");
    CHECK(Headers.Entries[1].Name == "X-End");
  }
}

TEST_CASE("Serialized messages") {
  SUBCASE("state the length of a body") {
    request Request;
    Request.Method = "POST";
    Request.Target = "/a";
    Request.Headers.add("Host", "h");
    Request.Body = "abc";
    CHECK(serialize(Request) == "POST /a HTTP/1.1\r\nHost: h\r\n"
                                "Content-Length: 3\r\n\r\nabc");
  }
  SUBCASE("have no length where no body is allowed") {
    request Request;
    Request.Method = "GET";
    Request.Target = "/a";
    CHECK(serialize(Request) == "GET /a HTTP/1.1\r\n\r\n");
    response Response;
    Response.Status = 204;
    CHECK(serialize(Response, {}).find("Content-Length") == std::string::npos);
  }
  SUBCASE("announce that the connection is closed") {
    response Response;
    Response.Status = 200;
    Response.Body = "abc";
    response_framing Framing;
    Framing.Close = true;
    Framing.OmitBody = true;
    CHECK(serialize(Response, Framing) ==
          "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nConnection: close\r\n\r\n");
  }
}

TEST_CASE("Query parameters are decoded") {
  CHECK(queryParameter("/r?name=a%2eb&zone=x", "name") == "a.b");
  CHECK(queryParameter("/r?name=a&zone=", "zone") == "");
  CHECK_FALSE(queryParameter("/r?name=a", "zone").has_value());
  CHECK_FALSE(queryParameter("/r", "zone").has_value());
  CHECK(percentEncode("a/b c") == "a%2fb%20c");
}
