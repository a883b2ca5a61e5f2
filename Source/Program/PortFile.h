#pragma once

#include <cstdint>
#include <string>

#include <absl/status/status.h>

namespace magnolia::program {

/// Writes "NAME PORT\n" lines for the ports that a process was given by the
/// system, by rename, so that a reader never sees half a file. An empty \p Path
/// writes nothing.
absl::Status writePortFile(const std::string &Path, const std::string &Lines);

} // namespace magnolia::program
