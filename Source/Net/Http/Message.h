#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "Net/Base/Headers.h"

/// HTTP messages, independent of the library that parses and writes them.
namespace magnolia::http {

using net::findHeader;
using net::header_list;
using net::sameHeader;

/// The head of a request.
struct request_head {
  std::string Method;
  /// Path with query, as the caller sent it.
  std::string Target;
  /// Path without query.
  std::string Path;
  header_list Headers;
  /// "IP:port" of the caller.
  std::string Caller;
};

/// Receives body bytes; returns false to stop the transfer.
using byte_sink = std::function<bool(std::string_view Bytes)>;

/// A response with its complete body in memory.
struct buffered_response {
  int Status = 200;
  header_list Headers;
  std::string Body;
};

/// A response whose body is produced while it is sent.
struct streamed_response {
  int Status = 200;
  header_list Headers;
  /// Length of the body in bytes; empty: chunked.
  std::optional<uint64_t> Length;
  /// Writes the body to the sink. False means that the body is incomplete: the
  /// connection is then closed so that the caller can detect it.
  std::function<bool(const byte_sink &Sink)> Produce;
};

} // namespace magnolia::http
