#pragma once

#include <chrono>
#include <string>

#include "Common/ErrorKind.h"
#include "Net/Upstream/UpstreamPool.h"
#include "ScriptedServer.h"

/// Sends requests to scripted servers through an upstream_pool.
namespace magnolia::test {

inline constexpr std::chrono::seconds LongTimeout{20};
inline constexpr const char *TestRequestId = "id-1";

common::boot_time farDeadline();

net::upstream_request requestTo(const std::string &Path);

/// The response and outcome of one attempt.
struct attempt_result {
  absl::StatusOr<net::response_head> Head;
  std::string Body;
  absl::Status End;
  request::attempt_outcome Outcome;
};

/// Reads a response to its end.
attempt_result readToEnd(net::response_stream Stream);

attempt_result send(net::upstream_pool &Pool, net::upstream_request Request,
                    const std::string &Address);

scripted_server::script respondWith(std::string Bytes);

/// Responds to each request and keeps the connection open, so that only the
/// framing of the response marks its end.
scripted_server::script respondKeepOpen(std::string Bytes);

/// The bytes of a response to the request with the id \c TestRequestId.
std::string makeResponse(const std::string &Headers, const std::string &Body,
                         const std::string &Status = "200 OK");

extern const std::string HelloResponse;

/// Sends one request to a server that follows \p Script.
attempt_result sendOnce(net::upstream_pool &Pool,
                        scripted_server::script Script);

void checkFailure(const attempt_result &Result, common::error_kind Kind,
                  common::execution Execution);

} // namespace magnolia::test
