#pragma once

#include <string_view>

#include <absl/status/status.h>

#include "Net/Http/Message.h"

namespace magnolia::daemon {

/// Makes the documented response to a request that was rejected or failed: the
/// HTTP status of the error kind, `Retry-After` if a retry can succeed, and
/// `{"error":{"kind","ran","retry_after_ms","detail","request_id"}}`.
http::buffered_response makeErrorResponse(const absl::Status &Status,
                                          std::string_view RequestId);

} // namespace magnolia::daemon
