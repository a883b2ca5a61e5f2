#pragma once

#include <cstdint>
#include <string>

#include <absl/status/status.h>

namespace magnolia::program {

/// Writes a file with a line "NAME PORT\n" for each port that the process
/// listens on. The file is renamed into place, so that readers never see a
/// partial file. Does nothing if \p Path is empty.
absl::Status writePortFile(const std::string &Path, const std::string &Lines);

} // namespace magnolia::program
