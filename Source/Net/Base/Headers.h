#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// HTTP header fields, independent of the HTTP library.
namespace magnolia::net {

/// A header field; names are case-insensitive.
struct header_field {
  std::string Name;
  std::string Value;
};

/// Header fields in message order.
using header_list = std::vector<header_field>;

/// Compares two header names case-insensitively.
bool sameHeader(std::string_view A, std::string_view B);

/// The value of the first field named \p Name; a view into \p Headers.
std::optional<std::string_view> findHeader(const header_list &Headers,
                                           std::string_view Name);

} // namespace magnolia::net
