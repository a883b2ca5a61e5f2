#pragma once

#include <string>

#include <absl/status/status.h>

#include "Common/Time.h"
#include "MagnoliaCtl/Commands.h"

namespace magnolia::ctl {

/// The exit code that matches an error.
program::exit_code exitCodeOf(const absl::Status &Status);

/// Prints the message of \p Status as an error and returns the matching exit
/// code.
program::exit_code fail(const command_context &Context,
                        const absl::Status &Status);

/// Formats \p Time in UTC, such as "2026-03-01T12:00:00Z".
std::string formatTime(common::wall_time Time);

} // namespace magnolia::ctl
