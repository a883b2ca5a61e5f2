#include "Gateway/TargetFeedback.h"

#include <algorithm>
#include <cmath>
#include <string>

#include <absl/strings/numbers.h>

#include "Common/StringView.h"

namespace magnolia::gateway {
namespace {

constexpr int ServiceUnavailable = 503;
/// A target that names a longer time is asked again after this one.
constexpr std::chrono::hours MaxPause{1};
/// A target that names a longer time counts as cold for this one.
constexpr std::chrono::hours MaxWarmup{1};

/// The number of header \p Name, if it is one that is not negative.
std::optional<double> numberOf(const message::response &Response,
                               std::string_view Name) {
  const auto Text = Response.Headers.find(Name);
  double Number = 0;
  if (!Text || !absl::SimpleAtod(common::toAbsl(*Text), &Number) ||
      !std::isfinite(Number) || Number < 0)
    return std::nullopt;
  return Number;
}

std::optional<duration> pauseOf(const message::response &Response) {
  const auto Seconds = numberOf(Response, "retry-after");
  if (Response.Status != ServiceUnavailable || !Seconds)
    return std::nullopt;
  const std::chrono::duration<double> Longest = MaxPause;
  return std::chrono::duration_cast<duration>(
      std::min(std::chrono::duration<double>(*Seconds), Longest));
}

std::optional<duration> warmupOf(const message::response &Response,
                                 std::string_view Name) {
  const auto Millis = numberOf(Response, Name);
  if (!Millis)
    return std::nullopt;
  const std::chrono::duration<double, std::milli> Longest = MaxWarmup;
  return std::chrono::duration_cast<duration>(
      std::min(std::chrono::duration<double, std::milli>(*Millis), Longest));
}

} // namespace

target_feedback feedbackOf(const message::response &Response,
                           const header_names &Names) {
  return {Response.Headers.find(Names.Draining) == "1", pauseOf(Response),
          numberOf(Response, Names.RateLimit),
          warmupOf(Response, Names.WarmupMs)};
}

} // namespace magnolia::gateway
