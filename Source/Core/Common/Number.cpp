#include "Common/Number.h"

#include <array>
#include <charconv>

#include <absl/strings/numbers.h>

#include "Common/StringView.h"

namespace magnolia::common {

std::optional<double> parseNumber(std::string_view Text) {
  const bool IsNumber =
      !Text.empty() &&
      Text.find_first_not_of("0123456789.+-eE ") == std::string_view::npos;
  double Number = 0;
  if (!IsNumber || !absl::SimpleAtod(toAbsl(Text), &Number))
    return std::nullopt;
  return Number;
}

std::string printNumber(double Number) {
  // The longest is a sign, 17 digits, a point and an exponent of five letters.
  std::array<char, 32> Letters{};
  const auto Written =
      std::to_chars(Letters.data(), Letters.data() + Letters.size(), Number);
  return {Letters.data(), Written.ptr};
}

} // namespace magnolia::common
