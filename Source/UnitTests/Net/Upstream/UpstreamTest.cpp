#include <chrono>
#include <future>
#include <string>
#include <unistd.h>

#include <doctest/doctest.h>

#include "Common/ErrorKind.h"
#include "Net/Upstream/UpstreamPool.h"
#include "ScriptedServer.h"

using namespace magnolia;
using namespace magnolia::net;
using common::boot_clock;
using common::error_kind;
using common::execution;
using std::chrono::milliseconds;
using std::chrono::seconds;
using test::scripted_connection;
using test::scripted_server;

namespace {

constexpr seconds Plenty{20};
constexpr const char *Id = "id-1";

common::boot_time later() { return boot_clock::now() + Plenty; }

upstream_request requestTo(const std::string &Path) {
  upstream_request Request;
  Request.Method = "GET";
  Request.Path = Path;
  Request.RequestId = Id;
  Request.Deadline = later();
  return Request;
}

/// What a caller sees of one attempt.
struct seen {
  absl::StatusOr<answer_head> Head;
  std::string Body;
  absl::Status End;
  request::attempt_outcome Outcome;
};

seen follow(answer_stream Stream) {
  seen Seen{Stream.awaitHead(later()), "", absl::OkStatus(), {}};
  while (Seen.Head.ok()) {
    const auto Chunk = Stream.readChunk(later());
    if (!Chunk.ok())
      Seen.End = Chunk.status();
    if (!Chunk.ok() || Chunk->empty())
      break;
    Seen.Body += *Chunk;
  }
  const auto Outcome = Stream.awaitOutcome(later());
  REQUIRE(Outcome.has_value());
  Seen.Outcome = *Outcome;
  return Seen;
}

seen send(upstream_pool &Pool, upstream_request Request,
          const std::string &Address) {
  return follow(Pool.start(std::move(Request), Address));
}

scripted_server::script answering(std::string Bytes) {
  return [Bytes = std::move(Bytes)](scripted_connection &Connection) {
    Connection.readHead();
    Connection.send(Bytes);
  };
}

/// Reads the request, answers and waits, so that only the answer's own framing
/// can end it.
scripted_server::script answeringOpen(std::string Bytes) {
  return [Bytes = std::move(Bytes)](scripted_connection &Connection) {
    while (!Connection.readHead().empty())
      Connection.send(Bytes);
  };
}

std::string answer(const std::string &Headers, const std::string &Body,
                   const std::string &Status = "200 OK") {
  return "HTTP/1.1 " + Status + "\r\nMagnolia-Request-Id: " + Id + "\r\n" +
         Headers + "\r\n" + Body;
}

const std::string Hello = answer("Content-Length: 5\r\n", "hello");

seen sendOnce(upstream_pool &Pool, scripted_server::script Script) {
  scripted_server Server({std::move(Script)});
  return send(Pool, requestTo("/"), Server.address());
}

void checkFailure(const seen &Seen, error_kind Kind, execution Execution) {
  CHECK(Seen.Outcome.Error == Kind);
  CHECK(Seen.Outcome.Execution == Execution);
  const absl::Status &Status = Seen.Head.ok() ? Seen.End : Seen.Head.status();
  CHECK(!Status.ok());
  CHECK(common::kindOf(Status) == Kind);
}

} // namespace

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
    checkFailure(Seen, Answer.Kind, common::answerFor(Answer.Kind).Execution);
    CHECK(Seen.Outcome.Execution != execution::NotRun);
    CHECK(Pool.idleCount() == 0);
  }
}

TEST_CASE("A whole answer arrives as the target sent it") {
  upstream_pool Pool(upstream_settings{});

  SUBCASE("with a length, percent signs and without hop-by-hop headers") {
    const seen Seen = sendOnce(
        Pool, answeringOpen(answer("Content-Length: 5\r\nX-Part: 50%25%0a\r\n"
                                   "Location: /a%20b\r\nConnection: X-Hop\r\n"
                                   "X-Hop: 1\r\nMagnolia-Draining: 1\r\n",
                                   "hello")));
    CHECK(Seen.Outcome.ok());
    CHECK(Seen.Outcome.Execution == execution::Ran);
    CHECK(Seen.Outcome.TargetDraining);
    CHECK(Seen.Body == "hello");
    REQUIRE(Seen.Head.ok());
    CHECK(Seen.Head->BodyLength == 5);
    CHECK(*findHeader(Seen.Head->Headers, "x-part") == "50%25%0a");
    CHECK(*findHeader(Seen.Head->Headers, "Location") == "/a%20b");
    CHECK(Seen.Head->Headers.size() == 2);
  }

  SUBCASE("in chunks") {
    const seen Seen = sendOnce(
        Pool, answeringOpen(answer("Transfer-Encoding: chunked\r\n",
                                   "3\r\nhel\r\n2\r\nlo\r\n0\r\n\r\n")));
    CHECK(Seen.Outcome.ok());
    CHECK(Seen.Body == "hello");
    CHECK(!Seen.Head->BodyLength.has_value());
    CHECK(Pool.idleCount() == 1);
  }

  SUBCASE("without a body") {
    const seen Seen =
        sendOnce(Pool, answeringOpen(answer("", "", "304 Not Modified")));
    CHECK(Seen.Outcome.ok());
    CHECK(Seen.Head->Status == 304);
    CHECK(Pool.idleCount() == 1);
  }

  SUBCASE("larger than the buffer between the threads") {
    const std::string Large(4 << 20, 'y');
    const seen Seen = sendOnce(
        Pool, answeringOpen(answer("Content-Length: 4194304\r\n", Large)));
    CHECK(Seen.Outcome.ok());
    CHECK(Seen.Body == Large);
  }
}

TEST_CASE("A request arrives as the caller sent it") {
  upstream_pool Pool(upstream_settings{});
  std::string Head;
  std::string Body;
  scripted_server Server({[&](scripted_connection &Connection) {
    Head = Connection.readHead();
    const bool Chunked = Head.find("chunked") != std::string::npos;
    Body = Connection.readBytes(Chunked ? 15 : 5);
    Connection.send(Hello);
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

TEST_CASE("A connection is used again only when nothing is in doubt") {
  upstream_pool Pool(upstream_settings{});
  upstream_request Request = requestTo("/");
  Request.Connection = connection_choice::ReuseAllowed;
  const auto ConnectionsAfterTwo = [&](const std::string &Answer) {
    scripted_server Server({answeringOpen(Answer)});
    const seen First = send(Pool, Request, Server.address());
    const seen Second = send(Pool, Request, Server.address());
    CHECK(First.Outcome.ok());
    CHECK(Second.Outcome.ok());
    CHECK(First.Body == Second.Body);
    const int Connections = Server.connections();
    CHECK(Second.Outcome.ConnectionReused == (Connections == 1));
    Pool.closeIdle();
    return Connections;
  };

  SUBCASE("after a whole answer") { CHECK(ConnectionsAfterTwo(Hello) == 1); }

  SUBCASE("but not for a request that must have a fresh one") {
    int Kept = -1;
    scripted_server Server({[&](scripted_connection &Connection) {
                              Connection.readHead();
                              Connection.send(Hello);
                              Kept = Connection.release();
                            },
                            answering(Hello)});
    CHECK(send(Pool, Request, Server.address()).Outcome.ok());
    CHECK(Pool.idleCount() == 1);
    Request.Connection = connection_choice::FreshOnly;
    Request.Deadline = boot_clock::now() + seconds(5);
    CHECK(send(Pool, Request, Server.address()).Body == "hello");
    CHECK(Server.connections() == 2);
    ::close(Kept);
  }

  SUBCASE("but not with bytes left over") {
    scripted_server Server({answeringOpen(Hello + "x"), answering(Hello)});
    CHECK(send(Pool, Request, Server.address()).Outcome.ok());
    CHECK(send(Pool, Request, Server.address()).Body == "hello");
    CHECK(Server.connections() == 2);
  }

  SUBCASE("but not when bytes come while it is idle") {
    std::promise<void> Answered;
    std::promise<void> Sent;
    scripted_server Server({[&](scripted_connection &Connection) {
                              Connection.readHead();
                              Connection.send(Hello);
                              Answered.get_future().wait();
                              Connection.send(Hello);
                              Sent.set_value();
                            },
                            answering(Hello)});
    CHECK(send(Pool, Request, Server.address()).Outcome.ok());
    CHECK(Pool.idleCount() == 1);
    Answered.set_value();
    Sent.get_future().wait();
    CHECK(send(Pool, Request, Server.address()).Outcome.ok());
    CHECK(Server.connections() == 2);
  }

  SUBCASE("but not when the target asks to close") {
    scripted_server Server({answering(
        answer("Content-Length: 5\r\nConnection: Close\r\n", "hello"))});
    send(Pool, Request, Server.address());
    CHECK(Pool.idleCount() == 0);
  }
}

TEST_CASE("A caller that leaves is noticed by the target") {
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

  SUBCASE("before the answer") {
    answer_stream Stream = Pool.start(requestTo("/"), Server.address());
    Arrived.get_future().wait();
    Stream.cancel();
    CHECK(Closed.get_future().get());
    const seen Seen = follow(std::move(Stream));
    checkFailure(Seen, error_kind::CallerGone, execution::Unknown);
  }

  SUBCASE("in the middle of it, by dropping the stream") {
    Bytes = answer("Content-Length: 9\r\n", "hello");
    {
      answer_stream Stream = Pool.start(requestTo("/"), Server.address());
      CHECK(Stream.awaitHead(later()).ok());
    }
    CHECK(Closed.get_future().get());
  }

  CHECK(Pool.idleCount() == 0);
}
