#pragma once

#include <string_view>

#include <absl/strings/string_view.h>

/// Conversions between the two string views: Debian builds Abseil with its own
/// string_view, which does not convert from the standard one.
namespace magnolia::common {

inline absl::string_view toAbsl(std::string_view Text) {
  return {Text.data(), Text.size()};
}

inline std::string_view toStd(absl::string_view Text) {
  return {Text.data(), Text.size()};
}

} // namespace magnolia::common
