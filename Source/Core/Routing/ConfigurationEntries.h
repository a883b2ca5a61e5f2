#pragma once

#include <vector>

#include "Common/EntryDiff.h"
#include "Routing/Configuration.h"

/// Printed form of a configuration, by which two versions are compared.
namespace magnolia::routing {

/// The routes, services, workspaces and limits of \p Configuration with their
/// printed fields. Of keys there is only the count and a digest over all keys
/// of the workspace, which shows that one was replaced.
std::vector<common::entry_group> entriesOf(const configuration &Configuration);

} // namespace magnolia::routing
