#pragma once

#include <chrono>
#include <string>
#include <vector>

#include <absl/status/statusor.h>

#include "Common/Time.h"
#include "MagnoliaCtl/Commands.h"
#include "Platform/InstanceRow.h"

/// Which instances have a version in force.
namespace magnolia::ctl {

/// An instance row counts as alive until it is this old.
inline constexpr std::chrono::seconds MaxFreshRowAge{60};

/// One instance as the platform's list and its own row show it.
struct instance_view {
  std::string Name;
  bool Listed = false;
  bool Draining = false;
  /// Whether it ever wrote its row; without, the row's fields are empty.
  bool HasRow = false;
  /// Whether the row is younger than MaxFreshRowAge.
  bool Fresh = false;
  platform::instance_row Row;
};

/// Every instance that stands in the list or has a row, ordered by name.
absl::StatusOr<std::vector<instance_view>>
readInstances(const command_context &Context);

/// Whether a change must wait for the instance: it is listed and not leaving,
/// or it wrote its row lately.
bool mustConfirm(const instance_view &Instance);

/// Waits until every such instance confirmed \p Version, prints those that have
/// not in time. Unavailable unless all have.
program::exit_code awaitConfirmations(const command_context &Context,
                                      uint64_t Version);

} // namespace magnolia::ctl
