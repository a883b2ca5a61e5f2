#include "Magnoliad/ErrorResponse.h"

#include <nlohmann/json.hpp>

#include "Common/ErrorKind.h"

namespace magnolia::daemon {
namespace {

/// Rounds up, because `Retry-After` is in whole seconds.
int64_t wholeSeconds(std::chrono::milliseconds Time) {
  return std::chrono::ceil<std::chrono::seconds>(Time).count();
}

} // namespace

http::buffered_response makeErrorResponse(const absl::Status &Status,
                                          std::string_view RequestId) {
  const common::error_response &Entry =
      common::responseFor(common::kindOf(Status));
  nlohmann::json Error = {
      {"kind", std::string(Entry.Name)},
      {"ran", std::string(common::nameOf(Entry.Execution))},
      {"detail", std::string(Status.message())},
      {"request_id", std::string(RequestId)},
  };
  http::buffered_response Response;
  Response.Status = Entry.HttpStatus;
  Response.Headers.push_back({"Content-Type", "application/json"});
  if (Entry.RetryAfter) {
    Error["retry_after_ms"] = Entry.RetryAfter->count();
    Response.Headers.push_back(
        {"Retry-After", std::to_string(wholeSeconds(*Entry.RetryAfter))});
  }
  // The detail can contain bytes of the caller that are not valid UTF-8.
  Response.Body = nlohmann::json{{"error", Error}}.dump(
      -1, ' ', false, nlohmann::json::error_handler_t::replace);
  return Response;
}

} // namespace magnolia::daemon
