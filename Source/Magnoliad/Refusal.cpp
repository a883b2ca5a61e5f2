#include "Magnoliad/Refusal.h"

#include <nlohmann/json.hpp>

#include "Common/ErrorKind.h"

namespace magnolia::daemon {
namespace {

/// `Retry-After` counts whole seconds, so a part of one is rounded up.
int64_t wholeSeconds(std::chrono::milliseconds Time) {
  return std::chrono::ceil<std::chrono::seconds>(Time).count();
}

} // namespace

http::whole_answer makeRefusal(const absl::Status &Status,
                               std::string_view RequestId) {
  const common::error_response &Row =
      common::responseFor(common::kindOf(Status));
  nlohmann::json Error = {
      {"kind", std::string(Row.Name)},
      {"ran", std::string(common::nameOf(Row.Execution))},
      {"detail", std::string(Status.message())},
      {"request_id", std::string(RequestId)},
  };
  http::whole_answer Answer;
  Answer.Status = Row.HttpStatus;
  Answer.Headers.push_back({"Content-Type", "application/json"});
  if (Row.RetryAfter) {
    Error["retry_after_ms"] = Row.RetryAfter->count();
    Answer.Headers.push_back(
        {"Retry-After", std::to_string(wholeSeconds(*Row.RetryAfter))});
  }
  // A detail can hold bytes of the caller that are not UTF-8.
  Answer.Body = nlohmann::json{{"error", Error}}.dump(
      -1, ' ', false, nlohmann::json::error_handler_t::replace);
  return Answer;
}

} // namespace magnolia::daemon
