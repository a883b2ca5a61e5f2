#pragma once

#include <cstdint>
#include <string_view>

#include "Net/Message/Message.h"

namespace magnolia::gateway {

/// A hash of what a target is asked to do: equal for requests of one workspace
/// with the same method, host, path and body, on every instance. \p Workspace
/// is empty on a public route.
uint64_t fingerprintOf(const message::request &Request,
                       std::string_view Workspace);

} // namespace magnolia::gateway
