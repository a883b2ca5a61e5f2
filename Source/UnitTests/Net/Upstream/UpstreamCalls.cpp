#include "UpstreamCalls.h"

#include <doctest/doctest.h>

using magnolia::common::boot_clock;
using magnolia::common::error_kind;
using magnolia::common::execution;
using magnolia::net::response_stream;
using magnolia::net::upstream_pool;
using magnolia::net::upstream_request;

namespace magnolia::test {

common::boot_time later() { return boot_clock::now() + Plenty; }

upstream_request requestTo(const std::string &Path) {
  upstream_request Request;
  Request.Method = "GET";
  Request.Path = Path;
  Request.RequestId = Id;
  Request.Deadline = later();
  return Request;
}

seen follow(response_stream Stream) {
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

scripted_server::script answeringOpen(std::string Bytes) {
  return [Bytes = std::move(Bytes)](scripted_connection &Connection) {
    while (!Connection.readHead().empty())
      Connection.send(Bytes);
  };
}

std::string answer(const std::string &Headers, const std::string &Body,
                   const std::string &Status) {
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

} // namespace magnolia::test
