#include "UpstreamCalls.h"

#include <doctest/doctest.h>

using magnolia::common::boot_clock;
using magnolia::common::error_kind;
using magnolia::common::execution;
using magnolia::net::response_stream;
using magnolia::net::upstream_pool;
using magnolia::net::upstream_request;

namespace magnolia::test {

common::boot_time farDeadline() { return boot_clock::now() + LongTimeout; }

upstream_request requestTo(const std::string &Path) {
  upstream_request Request;
  Request.Method = "GET";
  Request.Path = Path;
  Request.RequestId = TestRequestId;
  Request.Deadline = farDeadline();
  return Request;
}

attempt_result readToEnd(response_stream Stream) {
  attempt_result Result{
      Stream.awaitHead(farDeadline()), "", absl::OkStatus(), {}};
  while (Result.Head.ok()) {
    const auto Chunk = Stream.readChunk(farDeadline());
    if (!Chunk.ok())
      Result.End = Chunk.status();
    if (!Chunk.ok() || Chunk->empty())
      break;
    Result.Body += *Chunk;
  }
  const auto Outcome = Stream.awaitOutcome(farDeadline());
  REQUIRE(Outcome.has_value());
  Result.Outcome = *Outcome;
  return Result;
}

attempt_result send(upstream_pool &Pool, upstream_request Request,
                    const std::string &Address) {
  return readToEnd(Pool.start(std::move(Request), Address));
}

scripted_server::script respondWith(std::string Bytes) {
  return [Bytes = std::move(Bytes)](scripted_connection &Connection) {
    Connection.readHead();
    Connection.send(Bytes);
  };
}

scripted_server::script respondKeepOpen(std::string Bytes) {
  return [Bytes = std::move(Bytes)](scripted_connection &Connection) {
    while (!Connection.readHead().empty())
      Connection.send(Bytes);
  };
}

std::string makeResponse(const std::string &Headers, const std::string &Body,
                         const std::string &Status) {
  return "HTTP/1.1 " + Status + "\r\nMagnolia-Request-Id: " + TestRequestId +
         "\r\n" + Headers + "\r\n" + Body;
}

const std::string HelloResponse =
    makeResponse("Content-Length: 5\r\n", "hello");

attempt_result sendOnce(upstream_pool &Pool, scripted_server::script Script) {
  scripted_server Server({std::move(Script)});
  return send(Pool, requestTo("/"), Server.address());
}

void checkFailure(const attempt_result &Result, error_kind Kind,
                  execution Execution) {
  CHECK(Result.Outcome.Error == Kind);
  CHECK(Result.Outcome.Execution == Execution);
  const absl::Status &Status =
      Result.Head.ok() ? Result.End : Result.Head.status();
  CHECK(!Status.ok());
  CHECK(common::kindOf(Status) == Kind);
}

} // namespace magnolia::test
