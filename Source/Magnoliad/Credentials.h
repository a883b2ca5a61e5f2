#pragma once

#include <optional>
#include <string_view>

#include "Net/Http/Message.h"

/// Extraction of a caller's key, and the headers that are not forwarded to
/// targets.
namespace magnolia::daemon {

/// Header for the key of a caller, an alternative to `Authorization: Bearer`.
inline constexpr std::string_view KeyHeader = "Magnolia-Key";

/// Header in which a caller may state its workspace; targets receive the
/// workspace of the key in it.
inline constexpr std::string_view WorkspaceHeader = "Magnolia-Workspace";

/// The secret of the presented key, if any; a view into \p Headers.
std::optional<std::string_view> findSecret(const http::header_list &Headers);

/// Whether a header may be forwarded to a target: it is not a credential and
/// not set by this system.
bool mayReachTarget(std::string_view Name);

} // namespace magnolia::daemon
