#include "MagnoliaCtl/Output.h"

#include <ostream>

#include <absl/time/time.h>

#include "Common/StringView.h"

namespace magnolia::ctl {

using program::exit_code;

exit_code exitCodeOf(const absl::Status &Status) {
  switch (Status.code()) {
  case absl::StatusCode::kInvalidArgument:
  case absl::StatusCode::kNotFound:
  case absl::StatusCode::kAlreadyExists:
    return exit_code::InvalidInput;
  case absl::StatusCode::kAborted:
    return exit_code::Conflict;
  case absl::StatusCode::kUnavailable:
  case absl::StatusCode::kUnknown:
    return exit_code::Unavailable;
  default:
    return exit_code::Failure;
  }
}

exit_code fail(const command_context &Context, const absl::Status &Status) {
  *Context.Error << common::toStd(Status.message()) << "\n";
  return exitCodeOf(Status);
}

std::string formatTime(common::wall_time Time) {
  return absl::FormatTime("%Y-%m-%dT%H:%M:%SZ", absl::FromChrono(Time),
                          absl::UTCTimeZone());
}

} // namespace magnolia::ctl
