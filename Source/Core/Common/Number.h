#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace magnolia::common {

/// The number that \p Text writes in decimal digits, with or without a fraction
/// and an exponent; infinite if it is larger than its type holds. Empty for
/// anything else, also for words such as "inf".
std::optional<double> parseNumber(std::string_view Text);

/// The shortest text from which the same number is read, such as "90" or "0.1".
std::string printNumber(double Number);

} // namespace magnolia::common
