#include "Magnoliad/Credentials.h"

#include <absl/strings/match.h>

#include "Common/StringView.h"

namespace magnolia::daemon {
namespace {

constexpr std::string_view AuthorizationHeader = "Authorization";
constexpr std::string_view BearerPrefix = "Bearer ";

/// Prefix of the headers defined by this system for callers and targets.
constexpr std::string_view InternalHeaderPrefix = "Magnolia-";

} // namespace

std::optional<std::string_view> findSecret(const http::header_list &Headers) {
  if (const auto Key = http::findHeader(Headers, KeyHeader))
    return Key;
  const auto Authorization = http::findHeader(Headers, AuthorizationHeader);
  if (!Authorization ||
      !absl::StartsWithIgnoreCase(common::toAbsl(*Authorization),
                                  common::toAbsl(BearerPrefix)))
    return std::nullopt;
  return Authorization->substr(BearerPrefix.size());
}

bool mayReachTarget(std::string_view Name) {
  return !http::sameHeader(Name, AuthorizationHeader) &&
         !http::sameHeader(Name, "Proxy-Authorization") &&
         !absl::StartsWithIgnoreCase(common::toAbsl(Name),
                                     common::toAbsl(InternalHeaderPrefix));
}

} // namespace magnolia::daemon
