#pragma once

#include <optional>
#include <string_view>

#include "Net/Http/Message.h"

/// The key that a caller presents, and the headers that never reach a target.
namespace magnolia::daemon {

/// Header with which a caller presents its key, beside `Authorization: Bearer`.
inline constexpr std::string_view KeyHeader = "Magnolia-Key";

/// Header with which a caller may state its workspace, and by which targets
/// learn it.
inline constexpr std::string_view WorkspaceHeader = "Magnolia-Workspace";

/// The secret of the key, if one was presented; a view into \p Headers.
std::optional<std::string_view> findSecret(const http::header_list &Headers);

/// Whether a header may go to a target: no credential, nothing that this
/// system sets itself.
bool mayReachTarget(std::string_view Name);

} // namespace magnolia::daemon
