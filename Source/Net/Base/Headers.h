#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// Header fields of HTTP messages, free of the library that reads them.
namespace magnolia::net {

/// One header field; names compare without regard to case.
struct header_field {
  std::string Name;
  std::string Value;
};

/// Fields in the order in which they came.
using header_list = std::vector<header_field>;

/// Whether two header names are the same without regard to case.
bool sameHeader(std::string_view A, std::string_view B);

/// The value of the first field named \p Name; a view into \p Headers.
std::optional<std::string_view> findHeader(const header_list &Headers,
                                           std::string_view Name);

} // namespace magnolia::net
