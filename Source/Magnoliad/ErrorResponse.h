#pragma once

#include <string_view>

#include <absl/status/status.h>

#include "Net/Http/Message.h"

namespace magnolia::daemon {

/// The documented answer to a request that was refused or failed: the HTTP
/// status of its kind, `Retry-After` where another try can help, and
/// `{"error":{"kind","ran","retry_after_ms","detail","request_id"}}`.
http::whole_answer makeErrorResponse(const absl::Status &Status,
                                     std::string_view RequestId);

} // namespace magnolia::daemon
