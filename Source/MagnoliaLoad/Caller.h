#pragma once

#include <memory>
#include <string>
#include <string_view>

#include <absl/container/flat_hash_map.h>

#include "Common/ErrorKind.h"
#include "MagnoliaLoad/Experiment.h"

namespace httplib {
class Client;
}

namespace magnolia::load {

/// How one call ended.
struct call_outcome {
  bool Succeeded = false;
  /// "ok", the error kind of a refusal, or "connect_failed",
  /// "transport_failed" and "http_STATUS" where none was told.
  std::string Kind;
  /// "no", "yes" or "unknown", as the refusal says.
  std::string Ran;
};

/// What a GET of the fleet's own pages brought.
struct page {
  bool Arrived = false;
  std::string Body;
};

/// HTTP calls over kept connections, one for each address. Not thread-safe:
/// each thread has its own.
class caller {
public:
  explicit caller(microseconds Timeout);
  ~caller();

  /// Calls with \p Key as the bearer token; none when empty.
  call_outcome call(const std::string &Address, const request_kind &Request,
                    std::string_view Key, std::string_view RequestId);

  page get(const std::string &Address, const std::string &Path,
           std::string_view Key);

  bool send(const scheduled_event &Event);

private:
  httplib::Client &clientOf(const std::string &Address);

  microseconds Timeout;
  absl::flat_hash_map<std::string, std::unique_ptr<httplib::Client>> Clients;
};

} // namespace magnolia::load
