#pragma once

#include <chrono>
#include <string>
#include <vector>

#include <absl/status/statusor.h>

#include "Common/Time.h"
#include "MagnoliaCtl/Commands.h"
#include "Platform/InstanceRow.h"

/// Checks which instances have confirmed a version.
namespace magnolia::ctl {

/// An instance whose row is at most this old counts as running; the row is
/// called fresh.
inline constexpr std::chrono::seconds MaxFreshRowAge{60};

/// An instance's entry in the platform's list combined with its row.
struct instance_view {
  std::string Name;
  bool Listed = false;
  bool Draining = false;
  /// Whether the instance has a row; if not, Row is default-constructed.
  bool HasRow = false;
  /// Whether the row is at most MaxFreshRowAge old.
  bool Fresh = false;
  platform::instance_row Row;
};

/// Reads all instances that are listed or have a row, ordered by name.
absl::StatusOr<std::vector<instance_view>>
readInstances(const command_context &Context);

/// Whether a change waits for the instance: it is listed and not draining, or
/// its row is fresh, also if it is unlisted or draining.
bool mustConfirm(const instance_view &Instance);

/// Waits up to Context.Wait until all instances that must confirm have
/// confirmed \p Version, and prints the outcome. Returns Unavailable if some
/// have not, and Success at once if no wait is set.
program::exit_code awaitConfirmations(const command_context &Context,
                                      uint64_t Version);

} // namespace magnolia::ctl
