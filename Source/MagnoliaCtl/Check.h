#pragma once

#include <optional>
#include <span>
#include <string>

#include "MagnoliaCtl/Commands.h"
#include "Routing/ConfigurationFormat.h"

namespace magnolia::ctl {

/// Arguments of the command "check".
struct check_request {
  std::string File;
  /// File with the version to compare with; none if empty.
  std::string Against;
  /// Address of the store with the version to compare with; none if empty.
  std::string Store;
  bool Json = false;
  /// Whether warnings count as errors.
  bool Strict = false;
  /// Requests per second that the targets of all services execute together.
  std::optional<double> FleetRate;
  std::optional<size_t> InstanceMemoryMb;
};

/// Prints everything that is wrong with a configuration before it is sent, and
/// what differs from another version. The first of \p Formats that recognizes
/// the file reads it. Returns InvalidInput if the file or the other version has
/// errors, and Unavailable if the store cannot be read.
program::exit_code
check(const command_context &Context, const check_request &Request,
      std::span<const routing::configuration_format> Formats);

} // namespace magnolia::ctl
