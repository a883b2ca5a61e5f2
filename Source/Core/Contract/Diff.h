#pragma once

#include <vector>

#include "Common/EntryDiff.h"
#include "Contract/Manifest.h"

/// Differences between two configurations.
namespace magnolia::contract {

/// The entries of \p Configuration with their printed fields; a target's name
/// is "service/target".
std::vector<common::entry_group> entriesOf(const configuration &Configuration);

/// All entries that differ between \p Old and \p New, ordered by workspaces,
/// services, targets, routes and keys, and by name.
std::vector<common::entry_change> diff(const configuration &Old,
                                       const configuration &New);

} // namespace magnolia::contract
