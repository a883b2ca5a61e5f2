#pragma once

#include <string_view>

#include <absl/status/status.h>

#include "Net/Upstream/Message.h"

namespace magnolia::net {

/// \p Headers without hop-by-hop fields: those that the standard names and
/// those that a Connection field lists.
header_list withoutHopByHop(const header_list &Headers);

/// Whether the Connection field asks to close the connection.
bool asksToClose(const header_list &Headers);

/// Ok unless the method, path or a header holds bytes that could change the
/// framing of the message (control characters, spaces in the path).
absl::Status checkRequestHead(const upstream_request &Request);

/// Whether names and values are free of control characters and names are
/// tokens.
bool areHeadersValid(const header_list &Headers);

/// How the body of an answer is delimited.
enum class framing : uint8_t {
  None,
  Length,
  Chunked,
  /// Two lengths, an unreadable length, a length with chunks, an unknown
  /// transfer coding, or no delimiter but the end of the connection.
  Ambiguous
};

/// Reads the framing of an answer with \p Status to a request with \p Method;
/// \p Length is set for framing::Length.
framing framingOf(std::string_view Method, int Status,
                  const header_list &Headers, uint64_t &Length);

} // namespace magnolia::net
