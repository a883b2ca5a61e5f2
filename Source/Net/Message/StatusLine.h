#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace magnolia::message {

/// Checks the beginning of a response as its bytes arrive: HTTP/1 and a status
/// that HTTP defines, 100 to 599 in three digits. Switching protocols (101) is
/// none, since no request asks for it. The parsing library accepts any number
/// of digits and other versions.
class status_line_check {
public:
  enum class result : uint8_t { Incomplete, Valid, Invalid };

  /// Checks the next bytes; those behind the status do not matter. Empty lines
  /// before a response are skipped, as the library does.
  result feed(std::string_view Bytes);

private:
  static bool fits(size_t Position, char Byte);

  /// Bytes of the line that were checked.
  size_t Position = 0;
  int Status = 0;
  result Result = result::Incomplete;
};

} // namespace magnolia::message
