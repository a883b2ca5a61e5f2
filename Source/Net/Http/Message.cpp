#include "Net/Http/Message.h"

#include <absl/strings/match.h>

#include "Common/StringView.h"

namespace magnolia::http {

bool sameHeader(std::string_view A, std::string_view B) {
  return absl::EqualsIgnoreCase(common::toAbsl(A), common::toAbsl(B));
}

std::optional<std::string_view> findHeader(const header_list &Headers,
                                           std::string_view Name) {
  for (const auto &[Key, Value] : Headers)
    if (sameHeader(Key, Name))
      return Value;
  return std::nullopt;
}

} // namespace magnolia::http
