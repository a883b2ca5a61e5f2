#pragma once

#include <string_view>

#include <absl/status/status.h>

#include "Net/Upstream/Message.h"

namespace magnolia::net {

/// \p Headers without the hop-by-hop fields: those that HTTP defines and those
/// listed in a Connection field. Also drops Expect.
header_list withoutHopByHop(const header_list &Headers);

/// Whether a Connection field contains "close".
bool asksToClose(const header_list &Headers);

/// Rejects a method, path or header with bytes that could change the framing of
/// the message, such as control characters or spaces in the path. Also rejects
/// a path that is not absolute.
absl::Status checkRequestHead(const upstream_request &Request);

/// Whether all names are HTTP tokens and no value contains control characters
/// other than tabs.
bool areHeadersValid(const header_list &Headers);

/// How the body of a response is delimited.
enum class framing : uint8_t {
  None,
  Length,
  Chunked,
  /// Two lengths, an invalid length, a length together with chunked encoding,
  /// an unknown transfer coding, or a body delimited by the end of the
  /// connection.
  Ambiguous
};

/// Determines the framing of a response with \p Status to a request with
/// \p Method. Sets \p Length for framing::Length.
framing framingOf(std::string_view Method, int Status,
                  const header_list &Headers, uint64_t &Length);

} // namespace magnolia::net
