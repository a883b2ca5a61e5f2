#pragma once

#include <cstddef>
#include <optional>
#include <string_view>

#include <absl/status/status.h>

#include "Net/Http/Message.h"

/// Checks of the raw head of a request before the HTTP library parses it: a
/// head that two parsers could interpret differently is refused, since it would
/// allow request smuggling.
namespace magnolia::http {

/// Size of the head in bytes with its closing empty line; empty if \p Bytes do
/// not hold a complete head.
std::optional<size_t> findHeadEnd(std::string_view Bytes);

/// The header fields of an inspected head as they were sent. The fields parsed
/// by the library are not used, since it percent-decodes values.
header_list readFields(std::string_view Head);

/// BadRequest for a head whose framing is ambiguous: two lengths, a length with
/// a transfer coding, a coding other than chunked, folded lines, whitespace
/// around a header name, control characters, a body on a method that has none.
absl::Status inspectHead(std::string_view Head);

} // namespace magnolia::http
