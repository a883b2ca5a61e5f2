#pragma once

#include <memory>
#include <string>

#include "Net/Upstream/IdleConnections.h"
#include "Net/Upstream/ResponseStream.h"
#include "Net/Upstream/UpstreamPool.h"

// Private to this component.
namespace magnolia::net {

/// Runs one attempt to its end and finishes \p Channel. Blocks.
void runAttempt(const upstream_settings &Settings, idle_connections &Idle,
                const upstream_request &Request, const std::string &Address,
                response_channel &Channel);

} // namespace magnolia::net
