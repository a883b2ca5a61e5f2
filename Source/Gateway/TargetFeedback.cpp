#include "Gateway/TargetFeedback.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <string>

#include <absl/strings/numbers.h>
#include <absl/strings/str_split.h>

#include "Common/StringView.h"

namespace magnolia::gateway {
namespace {

constexpr int ServiceUnavailable = 503;
/// A target that names a longer time is asked again after this one.
constexpr std::chrono::hours MaxPause{1};
/// A target that names a longer time counts as cold for this one.
constexpr std::chrono::hours MaxWarmup{1};
/// A load with a larger number makes no sense.
constexpr uint32_t MaxToldNumber = 1'000'000;

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

/// A load that makes no sense is none: the numbers are missing, too large or in
/// another order.
std::optional<placement::told_load> parseLoad(std::string_view Text) {
  const std::vector<absl::string_view> Parts =
      absl::StrSplit(common::toAbsl(Text), ',');
  std::array<uint32_t, 3> Numbers{};
  if (Parts.size() != Numbers.size())
    return std::nullopt;
  for (size_t Index = 0; Index < Numbers.size(); ++Index)
    if (!absl::SimpleAtoi(Parts[Index], &Numbers.at(Index)) ||
        Numbers.at(Index) > MaxToldNumber)
      return std::nullopt;
  const placement::told_load Load = {Numbers[0], Numbers[1], Numbers[2]};
  const bool WaitsForNone = Load.Running == 0 && Load.Waiting > 0;
  if (Load.Slots == 0 || Load.Running > Load.Slots || WaitsForNone)
    return std::nullopt;
  return Load;
}

} // namespace

target_feedback feedbackOf(const message::response &Response,
                           const header_names &Names) {
  target_feedback Feedback;
  Feedback.Draining = Response.Headers.find(Names.Draining) == "1";
  Feedback.Pause = pauseOf(Response);
  Feedback.LimitPerSecond = numberOf(Response, Names.RateLimit);
  Feedback.WarmupLeft = warmupOf(Response, Names.WarmupMs);
  if (const auto Load = Response.Headers.find(Names.Load)) {
    Feedback.Load = parseLoad(*Load);
    if (!Feedback.Load)
      Feedback.InvalidLoad = std::string(*Load);
  }
  return Feedback;
}

} // namespace magnolia::gateway
