#pragma once

#include <cstddef>
#include <optional>
#include <string_view>

#include <absl/status/status.h>

#include "Net/Http/Message.h"

/// Checks on the raw head of a request before the HTTP library reads it: shapes
/// that two readers could understand differently are refused.
namespace magnolia::http {

/// Bytes of the head with its closing empty line, if \p Bytes hold it whole.
std::optional<size_t> findHeadEnd(std::string_view Bytes);

/// The header fields of an inspected head as they were sent. The library's own
/// reading is not used, since it percent-decodes values.
header_list readFields(std::string_view Head);

/// BadRequest for a head whose framing is ambiguous: two lengths, a length with
/// a transfer coding, a coding other than chunked, folded lines, blanks around
/// a header name, control characters, a body on a method that has none.
absl::Status inspectHead(std::string_view Head);

} // namespace magnolia::http
