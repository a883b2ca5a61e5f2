#pragma once

#include <ostream>
#include <string>
#include <vector>

#include "Program/ExitCode.h"

namespace magnolia::ctl {

/// Prints the log entries of the request \p Id from the log files of any number
/// of instances, ordered by time. Skips lines that are not JSON objects.
/// Returns InvalidInput if a file cannot be read or no entry has this request
/// id.
program::exit_code explain(const std::string &Id,
                           const std::vector<std::string> &Files,
                           std::ostream &Out, std::ostream &Error);

} // namespace magnolia::ctl
