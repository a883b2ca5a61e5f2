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

TEST_CASE("An attempt that wrote nothing did not run") {
  upstream_pool Pool(upstream_settings{});

  SUBCASE("because nobody listens") {
    const seen Seen = send(Pool, requestTo("/"), test::unusedAddress());
    checkFailure(Seen, error_kind::TargetUnreachable, execution::NotRun);
    CHECK(Seen.Outcome.BytesWritten == 0);
  }

  SUBCASE("because its deadline has passed") {
    scripted_server Server({answering(Hello)});
    upstream_request Request = requestTo("/");
    Request.Deadline = boot_clock::now();
    const seen Seen = send(Pool, Request, Server.address());
    checkFailure(Seen, error_kind::TargetUnreachable, execution::NotRun);
    CHECK(Seen.Outcome.BytesWritten == 0);
  }

  SUBCASE("because it would change the framing of the message") {
    scripted_server Server({answering(Hello)});
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
    const seen Seen = send(Pool, Request, Server.address());
    checkFailure(Seen, error_kind::BadRequest, execution::NotRun);
    CHECK(Server.connections() == 0);
  }

  SUBCASE("or the target says so in the answer to it") {
    const std::string Mark = "Content-Length: 0\r\nMagnolia-Not-Run: 1\r\n";
    const seen Seen =
        sendOnce(Pool, answering(answer(Mark, "", "503 Unavailable")));
    checkFailure(Seen, error_kind::TargetRefused, execution::NotRun);
  }
}

TEST_CASE("An attempt that wrote a byte and got no whole answer is unknown") {
  upstream_pool Pool(upstream_settings{});

  SUBCASE("cut while the body goes out") {
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
    const seen Seen = send(Pool, Request, Server.address());
    checkFailure(Seen, error_kind::TargetBroken, execution::Unknown);
    CHECK(Seen.Outcome.BytesWritten > 10);
  }

  SUBCASE("closed after the request") {
    const seen Seen = sendOnce(Pool, answering(""));
    checkFailure(Seen, error_kind::TargetBroken, execution::Unknown);
  }

  SUBCASE("reset after the request") {
    const seen Seen = sendOnce(Pool, [](scripted_connection &Connection) {
      Connection.readHead();
      Connection.reset();
    });
    checkFailure(Seen, error_kind::TargetBroken, execution::Unknown);
  }

  SUBCASE("answered too late, and the late answer reaches nobody") {
    scripted_server Server({[](scripted_connection &Connection) {
                              Connection.readHead();
                              Connection.awaitClose();
                              Connection.send(
                                  answer("Content-Length: 4\r\n", "late"));
                            },
                            answering(Hello)});
    upstream_request Request = requestTo("/");
    Request.Connection = connection_choice::ReuseAllowed;
    Request.Deadline = boot_clock::now() + milliseconds(50);
    const seen Late = send(Pool, Request, Server.address());
    checkFailure(Late, error_kind::DeadlineExceeded, execution::Unknown);
    Request.Deadline = later();
    CHECK(send(Pool, Request, Server.address()).Body == "hello");
    CHECK(Server.connections() == 2);
  }

  SUBCASE("refused by a mark that may belong to another request") {
    const seen Seen =
        sendOnce(Pool, answering("HTTP/1.1 503 No\r\nMagnolia-Not-Run: 1\r\n"
                                 "Content-Length: 0\r\n\r\n"));
    REQUIRE(Seen.Head.ok());
    CHECK(Seen.Head->Status == 503);
    CHECK(findHeader(Seen.Head->Headers, NotRunHeader) == std::nullopt);
    CHECK(Seen.Outcome.Execution != execution::NotRun);
  }

  SUBCASE("ended by its own caller") {
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
    const seen Seen = send(Pool, Request, Server.address());
    checkFailure(Seen, error_kind::CallerGone, execution::Unknown);
    CHECK(Closed.get_future().get());
  }
}

TEST_CASE("No answer that is short or another's passes for whole") {
  upstream_settings Settings;
  Settings.AnswerBodyLimit = 100;
  Settings.AnswerHeadLimit = 2000;
  upstream_pool Pool(Settings);
  const std::string Chunked = "Transfer-Encoding: chunked\r\n";

  struct bad_answer {
    const char *What;
    std::string Bytes;
    error_kind Kind;
  };
  const std::vector<bad_answer> Answers = {
      {"half a body", answer("Content-Length: 9\r\n", "hello"),
       error_kind::AnswerTruncated},
      {"chunks without end", answer(Chunked, "5\r\nhello\r\n"),
       error_kind::AnswerTruncated},
      {"a chunk cut inside", answer(Chunked, "9\r\nhello"),
       error_kind::AnswerTruncated},
      {"a chunk without its line end", answer(Chunked, "5\r\nhelloXX\r\n"),
       error_kind::AnswerTruncated},
      {"a last chunk without its blank line", answer(Chunked, "0\r\n"),
       error_kind::AnswerTruncated},
      {"half a head", "HTTP/1.1 200 OK\r\nContent-Le",
       error_kind::TargetBroken},
      {"no HTTP", "SSH-2.0-x\r\n\r\n", error_kind::TargetBroken},
      {"an interim answer", "HTTP/1.1 103 Early\r\n\r\n" + Hello,
       error_kind::TargetBroken},
      {"two lengths",
       answer("Content-Length: 5\r\nContent-Length: 3\r\n", "hello"),
       error_kind::TargetBroken},
      {"length and chunks",
       answer("Content-Length: 5\r\n" + Chunked, "0\r\n\r\n"),
       error_kind::TargetBroken},
      {"an unreadable length", answer("Content-Length: +5\r\n", "hello"),
       error_kind::TargetBroken},
      {"no length", answer("", "hello"), error_kind::TargetBroken},
      {"a long status line", "HTTP/1.1 200 " + std::string(1500, 'x') + "\r\n",
       error_kind::TargetBroken},
      {"a long head", answer("X: " + std::string(3000, 'x') + "\r\n", ""),
       error_kind::TargetBroken},
      {"a large length",
       answer("Content-Length: 101\r\n", std::string(101, 'x')),
       error_kind::AnswerTooLarge},
      {"large chunks",
       answer(Chunked, "65\r\n" + std::string(101, 'x') + "\r\n0\r\n\r\n"),
       error_kind::AnswerTooLarge},
      {"another's answer",
       "HTTP/1.1 200 OK\r\nMagnolia-Request-Id: id-2\r\n"
       "Content-Length: 5\r\n\r\nhello",
       error_kind::AnswerMismatched},
  };
  for (const bad_answer &Answer : Answers) {
    CAPTURE(Answer.What);
    const seen Seen = sendOnce(Pool, answering(Answer.Bytes));
    checkFailure(Seen, Answer.Kind, common::responseFor(Answer.Kind).Execution);
    CHECK(Seen.Outcome.Execution != execution::NotRun);
    CHECK(Pool.idleCount() == 0);
  }
}
