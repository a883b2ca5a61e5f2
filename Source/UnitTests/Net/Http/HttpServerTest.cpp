#include "Net/Http/HttpServer.h"

#include <string>

#include <absl/strings/str_cat.h>
#include <absl/synchronization/notification.h>
#include <doctest/doctest.h>

#include "Common/ErrorKind.h"
#include "RawCaller.h"

using namespace magnolia;
using namespace magnolia::http;
using std::chrono::milliseconds;

namespace {

buffered_response errorResponse(const absl::Status &Status) {
  const auto &Response = common::responseFor(common::kindOf(Status));
  return {Response.HttpStatus, {}, std::string(Response.Name)};
}

/// Responds with method, target and body of the request.
void echo(http_exchange &Exchange) {
  std::string Body;
  Exchange.readBody([&](std::string_view Bytes) {
    Body += Bytes;
    return true;
  });
  const request_head &Head = Exchange.request();
  Exchange.respond(buffered_response{
      200, {}, absl::StrCat(Head.Method, " ", Head.Target, " ", Body, "!")});
}

std::unique_ptr<http_server> serverWith(http_server::handler Handler,
                                        http_server_options Options = {}) {
  auto Server = http_server::create(std::move(Options), std::move(Handler),
                                    errorResponse);
  REQUIRE(Server.ok());
  (*Server)->start();
  return std::move(*Server);
}

bool contains(const std::string &Text, std::string_view Part) {
  return Text.find(Part) != std::string::npos;
}

} // namespace

TEST_CASE("An HTTP server") {
  SUBCASE("serves several requests on one connection, also pipelined ones") {
    const auto Server = serverWith(echo);
    raw_caller Caller(Server->address());
    Caller.send("GET /a?x=1 HTTP/1.1\r\n\r\n"
                "POST /b HTTP/1.1\r\nContent-Length: 3\r\n\r\nabc"
                "POST /c HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
                "2\r\nde\r\n0\r\n\r\n");
    CHECK(contains(Caller.receive("!"), "GET /a?x=1 "));
    CHECK(contains(Caller.receive("!"), "POST /b abc"));
    CHECK(contains(Caller.receive("!"), "POST /c de"));
  }

  SUBCASE("reads a head that arrives in several parts") {
    const auto Server = serverWith(echo);
    raw_caller Caller(Server->address());
    Caller.send("GET /slo");
    Caller.send("w HTTP/1.1\r\nHo");
    Caller.send("st: x\r\n\r\n");
    CHECK(contains(Caller.receive("!"), "GET /slow"));
  }

  SUBCASE(
      "streams a response and leaves a truncated one without its last chunk") {
    const auto Server = serverWith([](http_exchange &Exchange) {
      const bool Complete = Exchange.request().Path == "/whole";
      Exchange.respond(streamed_response{
          200, {}, std::nullopt, [Complete](const byte_sink &Sink) {
            return Sink("first") && Sink("second") && Complete;
          }});
    });
    raw_caller Caller(Server->address());
    Caller.send("GET /whole HTTP/1.1\r\n\r\n");
    CHECK(contains(Caller.receive("0\r\n\r\n"), "second"));
    Caller.send("GET /broken HTTP/1.1\r\n\r\n");
    const std::string Broken = Caller.receive();
    CHECK(contains(Broken, "second"));
    CHECK_FALSE(contains(Broken, "0\r\n\r\n"));
  }

  SUBCASE("reads header values as they were sent, without decoding them") {
    const auto Server = serverWith([](http_exchange &Exchange) {
      const auto Value = findHeader(Exchange.request().Headers, "X-Raw");
      Exchange.respond(buffered_response{200, {}, std::string(*Value) + "!"});
    });
    raw_caller Caller(Server->address());
    Caller.send("GET / HTTP/1.1\r\nX-Raw: a%0d%0aX-Evil: 1\r\n\r\n");
    CHECK(contains(Caller.receive("!"), "\r\n\r\na%0d%0aX-Evil: 1!"));
  }

  SUBCASE("sends each header of a streamed response once") {
    const auto Server = serverWith([](http_exchange &Exchange) {
      Exchange.respond(
          streamed_response{200,
                            {{"Content-Type", "text/html"}, {"X-Tag", "1"}},
                            2,
                            [](const byte_sink &Sink) { return Sink("ok"); }});
    });
    raw_caller Caller(Server->address());
    Caller.send("GET / HTTP/1.1\r\n\r\n");
    const std::string Head = Caller.receive("\r\n\r\n");
    CHECK(contains(Head, "X-Tag: 1"));
    const size_t First = Head.find("Content-Type: text/html");
    CHECK(First != std::string::npos);
    CHECK(Head.find("Content-Type", First + 1) == std::string::npos);
  }

  SUBCASE("closes the connection if a response is shorter than its length") {
    const auto Server = serverWith([](http_exchange &Exchange) {
      Exchange.respond(streamed_response{
          200, {}, 10, [](const byte_sink &Sink) { return Sink("short"); }});
    });
    raw_caller Caller(Server->address());
    Caller.send("GET / HTTP/1.1\r\n\r\n");
    const std::string Response = Caller.receive();
    CHECK(contains(Response, "Content-Length: 10"));
    CHECK(Response.ends_with("short"));
  }

  SUBCASE("refuses ambiguous framing and closes, against request smuggling") {
    const auto Server = serverWith(echo);
    constexpr std::string_view LengthAndChunks =
        "PUT / HTTP/1.1\r\nContent-Length: 4\r\n"
        "Transfer-Encoding: chunked";
    const std::string Smuggled = "GET /smuggled HTTP/1.1\r\n\r\n";
    for (const std::string_view Head : std::initializer_list<std::string_view>{
             "POST / HTTP/1.1\r\nContent-Length: 4\r\nContent-Length: 9",
             LengthAndChunks,
             "POST / HTTP/1.1\r\nTransfer-Encoding: gzip, chunked",
             "POST / HTTP/1.1\r\nContent-Length : 4",
             "POST / HTTP/1.1\r\nContent-Length: +4",
             "POST / HTTP/1.1\r\nX: a\r\n Content-Length: 4",
             "GET / HTTP/1.1\r\nContent-Length: 4",
             "NONSENSE",
         }) {
      CAPTURE(Head);
      raw_caller Caller(Server->address());
      Caller.send(absl::StrCat(absl::string_view(Head.data(), Head.size()),
                               "\r\n\r\n0\r\n\r\n", Smuggled));
      const std::string Response = Caller.receive();
      CHECK(contains(Response, "HTTP/1.1 400"));
      CHECK(contains(Response, "bad_request"));
      CHECK_FALSE(contains(Response, "/smuggled"));
    }
  }

  SUBCASE("refuses a head above its limit") {
    http_server_options Options;
    Options.MaxHeadBytes = 1024;
    const auto Server = serverWith(echo, Options);
    raw_caller Caller(Server->address());
    Caller.send(absl::StrCat("GET / HTTP/1.1\r\nX: ", std::string(2000, 'x'),
                             "\r\n\r\n"));
    const std::string Response = Caller.receive();
    CHECK(contains(Response, "HTTP/1.1 431"));
    CHECK(contains(Response, "headers_too_large"));
  }

  SUBCASE("lets a caller send the rest of a refused body, then read why") {
    // More than the sockets' buffers hold.
    std::string Body;
    Body.resize(20'000'000, 'x');
    const auto Server = serverWith([](http_exchange &Exchange) {
      Exchange.respond(buffered_response{413, {}, "too large!"});
    });
    raw_caller Caller(Server->address());
    CHECK(Caller.send(absl::StrCat(
        "POST / HTTP/1.1\r\nContent-Length: ", Body.size(), "\r\n\r\n", Body)));
    CHECK(contains(Caller.receive(), "too large!"));
  }

  SUBCASE("calls the handler's hook when the caller disconnects") {
    absl::Notification Disconnected;
    absl::Notification Entered;
    const auto Server = serverWith([&](http_exchange &Exchange) {
      Exchange.onCallerDisconnect([&] { Disconnected.Notify(); });
      Entered.Notify();
      Disconnected.WaitForNotification();
    });
    raw_caller Caller(Server->address());
    Caller.send("GET / HTTP/1.1\r\n\r\n");
    Entered.WaitForNotification();
    Caller.disconnect();
    Disconnected.WaitForNotification();
  }

  SUBCASE("finishes the request in flight at a graceful shutdown") {
    absl::Notification Entered;
    absl::Notification Proceed;
    const auto Server = serverWith([&](http_exchange &Exchange) {
      Entered.Notify();
      Proceed.WaitForNotification();
      echo(Exchange);
    });
    raw_caller Caller(Server->address());
    Caller.send("GET /last HTTP/1.1\r\n\r\n");
    Entered.WaitForNotification();
    CHECK_FALSE(Server->finish(milliseconds(0), milliseconds(20)));
    Proceed.Notify();
    CHECK(Server->finish(milliseconds(0), milliseconds(60'000)));
    const std::string Response = Caller.receive();
    CHECK(contains(Response, "GET /last"));
    CHECK(contains(Response, "Connection: close"));
  }
}
