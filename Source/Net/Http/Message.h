#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "Net/Base/Headers.h"

/// HTTP messages as the rest of the project sees them, free of the library that
/// reads and writes them.
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

/// Takes body bytes; false ends the transfer.
using byte_sink = std::function<bool(std::string_view Bytes)>;

/// An answer with its whole body in memory.
struct buffered_response {
  int Status = 200;
  header_list Headers;
  std::string Body;
};

/// An answer whose body is produced while it is sent.
struct streamed_response {
  int Status = 200;
  header_list Headers;
  /// Bytes of the body; absent: chunked.
  std::optional<uint64_t> Length;
  /// Sends the body into the sink. False means that the body is not whole: the
  /// connection is then closed in a way that the caller can tell.
  std::function<bool(const byte_sink &Sink)> Produce;
};

} // namespace magnolia::http
