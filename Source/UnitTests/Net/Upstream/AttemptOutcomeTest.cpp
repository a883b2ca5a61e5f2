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

TEST_CASE("A request is not executed") {
  upstream_pool Pool(upstream_settings{});

  SUBCASE("if no server listens") {
    const attempt_result Result =
        send(Pool, requestTo("/"), test::unusedAddress());
    checkFailure(Result, error_kind::TargetUnreachable, execution::NotRun);
    CHECK(Result.Outcome.BytesWritten == 0);
  }

  SUBCASE("if its deadline has passed") {
    scripted_server Server({respondWith(HelloResponse)});
    upstream_request Request = requestTo("/");
    Request.Deadline = boot_clock::now();
    const attempt_result Result = send(Pool, Request, Server.address());
    checkFailure(Result, error_kind::TargetUnreachable, execution::NotRun);
    CHECK(Result.Outcome.BytesWritten == 0);
  }

  SUBCASE("if it would change the framing of the message") {
    scripted_server Server({respondWith(HelloResponse)});
    upstream_request Request = requestTo("/a b");
    SUBCASE("in its path") {}
    SUBCASE("in a header") {
      Request = requestTo("/");
      Request.Headers = {{"X-Note", "a\r\nContent-Length: 7"}};
    }
    SUBCASE("in its method") {
      Request = requestTo("/");
      Request.Method = "GET /x";
    }
    const attempt_result Result = send(Pool, Request, Server.address());
    checkFailure(Result, error_kind::BadRequest, execution::NotRun);
    CHECK(Server.connections() == 0);
  }

  SUBCASE("if the target reports so in its response") {
    const std::string RefusalHeaders =
        "Content-Length: 0\r\nMagnolia-Not-Run: 1\r\n";
    const attempt_result Result = sendOnce(
        Pool, respondWith(makeResponse(RefusalHeaders, "", "503 Unavailable")));
    checkFailure(Result, error_kind::TargetRefused, execution::NotRun);
  }
}

TEST_CASE("The execution of a request is unknown without a complete response") {
  upstream_pool Pool(upstream_settings{});

  SUBCASE("if the connection is reset while the body is sent") {
    std::promise<void> Reset;
    scripted_server Server({[&](scripted_connection &Connection) {
      Connection.readHead();
      Connection.readBytes(10);
      Connection.reset();
      Reset.set_value();
    }});
    upstream_request Request = requestTo("/");
    Request.Method = "POST";
    Request.BodyLength = uint64_t{1} << 30;
    size_t Reads = 0;
    Request.ReadBody = [&](absl::Span<char> Buffer) -> absl::StatusOr<size_t> {
      if (++Reads == 2)
        Reset.get_future().wait();
      return Buffer.size();
    };
    const attempt_result Result = send(Pool, Request, Server.address());
    checkFailure(Result, error_kind::TargetBroken, execution::Unknown);
    CHECK(Result.Outcome.BytesWritten > 10);
  }

  SUBCASE("if the connection is closed after the request") {
    const attempt_result Result = sendOnce(Pool, respondWith(""));
    checkFailure(Result, error_kind::TargetBroken, execution::Unknown);
  }

  SUBCASE("if the connection is reset after the request") {
    const attempt_result Result =
        sendOnce(Pool, [](scripted_connection &Connection) {
          Connection.readHead();
          Connection.reset();
        });
    checkFailure(Result, error_kind::TargetBroken, execution::Unknown);
  }

  SUBCASE("if the response is late, and no later request receives it") {
    scripted_server Server(
        {[](scripted_connection &Connection) {
           Connection.readHead();
           Connection.awaitClose();
           Connection.send(makeResponse("Content-Length: 4\r\n", "late"));
         },
         respondWith(HelloResponse)});
    upstream_request Request = requestTo("/");
    Request.Connection = connection_choice::ReuseAllowed;
    Request.Deadline = boot_clock::now() + milliseconds(50);
    const attempt_result Late = send(Pool, Request, Server.address());
    checkFailure(Late, error_kind::DeadlineExceeded, execution::Unknown);
    Request.Deadline = farDeadline();
    CHECK(send(Pool, Request, Server.address()).Body == "hello");
    CHECK(Server.connections() == 2);
  }

  SUBCASE("if a refusal has no request id and may belong to another request") {
    const attempt_result Result =
        sendOnce(Pool, respondWith("HTTP/1.1 503 No\r\nMagnolia-Not-Run: 1\r\n"
                                   "Content-Length: 0\r\n\r\n"));
    REQUIRE(Result.Head.ok());
    CHECK(Result.Head->Status == 503);
    CHECK(findHeader(Result.Head->Headers, NotRunHeader) == std::nullopt);
    CHECK(Result.Outcome.Execution != execution::NotRun);
  }

  SUBCASE("if the caller disconnects while its body is sent") {
    std::promise<bool> Closed;
    scripted_server Server({[&](scripted_connection &Connection) {
      Connection.readHead();
      Closed.set_value(Connection.awaitClose());
    }});
    upstream_request Request = requestTo("/");
    Request.Method = "POST";
    Request.BodyLength = 10;
    Request.ReadBody = [](absl::Span<char>) -> absl::StatusOr<size_t> {
      return absl::CancelledError("gone");
    };
    const attempt_result Result = send(Pool, Request, Server.address());
    checkFailure(Result, error_kind::CallerGone, execution::Unknown);
    CHECK(Closed.get_future().get());
  }
}

TEST_CASE("An incomplete, malformed or mismatched response is an error") {
  upstream_settings Settings;
  Settings.MaxResponseBodyBytes = 100;
  Settings.MaxResponseHeadBytes = 2000;
  upstream_pool Pool(Settings);
  const std::string Chunked = "Transfer-Encoding: chunked\r\n";

  struct bad_response {
    const char *Description;
    std::string Bytes;
    error_kind Kind;
  };
  const std::vector<bad_response> Responses = {
      {"half a body", makeResponse("Content-Length: 9\r\n", "hello"),
       error_kind::AnswerTruncated},
      {"chunks without a last chunk", makeResponse(Chunked, "5\r\nhello\r\n"),
       error_kind::AnswerTruncated},
      {"a truncated chunk", makeResponse(Chunked, "9\r\nhello"),
       error_kind::AnswerTruncated},
      {"a chunk without its line end",
       makeResponse(Chunked, "5\r\nhelloXX\r\n"), error_kind::AnswerTruncated},
      {"a last chunk without its blank line", makeResponse(Chunked, "0\r\n"),
       error_kind::AnswerTruncated},
      {"half a head", "HTTP/1.1 200 OK\r\nContent-Le",
       error_kind::TargetBroken},
      {"another protocol", "SSH-2.0-x\r\n\r\n", error_kind::TargetBroken},
      {"an interim response", "HTTP/1.1 103 Early\r\n\r\n" + HelloResponse,
       error_kind::TargetBroken},
      {"a status of 000", makeResponse("Content-Length: 0\r\n", "", "000 No"),
       error_kind::TargetBroken},
      {"a status of 600", makeResponse("Content-Length: 0\r\n", "", "600 No"),
       error_kind::TargetBroken},
      {"a status of four digits",
       makeResponse("Content-Length: 0\r\n", "", "0200 OK"),
       error_kind::TargetBroken},
      {"two lengths",
       makeResponse("Content-Length: 5\r\nContent-Length: 3\r\n", "hello"),
       error_kind::TargetBroken},
      {"length and chunks",
       makeResponse("Content-Length: 5\r\n" + Chunked, "0\r\n\r\n"),
       error_kind::TargetBroken},
      {"an invalid length", makeResponse("Content-Length: +5\r\n", "hello"),
       error_kind::TargetBroken},
      {"no length", makeResponse("", "hello"), error_kind::TargetBroken},
      {"a long status line", "HTTP/1.1 200 " + std::string(1500, 'x') + "\r\n",
       error_kind::TargetBroken},
      {"a long head", makeResponse("X: " + std::string(3000, 'x') + "\r\n", ""),
       error_kind::TargetBroken},
      {"a large length",
       makeResponse("Content-Length: 101\r\n", std::string(101, 'x')),
       error_kind::AnswerTooLarge},
      {"large chunks",
       makeResponse(Chunked,
                    "65\r\n" + std::string(101, 'x') + "\r\n0\r\n\r\n"),
       error_kind::AnswerTooLarge},
      {"a response to another request",
       "HTTP/1.1 200 OK\r\nMagnolia-Request-Id: id-2\r\n"
       "Content-Length: 5\r\n\r\nhello",
       error_kind::AnswerMismatched},
  };
  for (const bad_response &Response : Responses) {
    CAPTURE(Response.Description);
    const attempt_result Result = sendOnce(Pool, respondWith(Response.Bytes));
    checkFailure(Result, Response.Kind,
                 common::responseFor(Response.Kind).Execution);
    CHECK(Result.Outcome.Execution != execution::NotRun);
    CHECK(Pool.idleCount() == 0);
  }
}
