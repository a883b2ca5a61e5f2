#include "Net/Base/Headers.h"

#include <absl/strings/match.h>

#include "Common/StringView.h"

namespace magnolia::net {

bool sameHeader(std::string_view A, std::string_view B) {
  return absl::EqualsIgnoreCase(common::toAbsl(A), common::toAbsl(B));
}

std::optional<std::string_view> findHeader(const header_list &Headers,
                                           std::string_view Name) {
  for (const header_field &Field : Headers)
    if (sameHeader(Field.Name, Name))
      return Field.Value;
  return std::nullopt;
}

} // namespace magnolia::net
