#pragma once

#include <chrono>
#include <map>
#include <string>

/// A plain caller for scenarios.
namespace magnolia::scenario {

/// One request of a caller.
struct call {
  std::string Method = "GET";
  std::string Path = "/";
  std::string Secret;
  std::string Body;
  std::map<std::string, std::string> Headers;
  /// Sends the body in chunks, without its length.
  bool Chunked = false;
  std::chrono::milliseconds Timeout{20'000};
};

/// What the caller got.
struct call_result {
  /// HTTP status; zero where no whole answer came.
  int Status = 0;
  std::string Body;
  /// Of the refusal JSON; empty otherwise.
  std::string ErrorKind;
  std::string Ran;

  bool ok() const { return Status == 200; }
};

/// Sends \p Call to "IPv4:port" on a fresh connection.
call_result send(const std::string &Address, const call &Call);

} // namespace magnolia::scenario
