#pragma once

#include <optional>
#include <string>

#include "Gateway/HeaderNames.h"
#include "Net/Message/Message.h"
#include "Placement/ToldLoad.h"

namespace magnolia::gateway {

using placement::duration;

/// What a target says of itself in a response, besides responding.
struct target_feedback {
  bool Draining = false;
  /// It refused and wants no request of this instance for this long.
  std::optional<duration> Pause;
  /// Requests per second that it takes from the whole fleet; none if it did not
  /// name a limit.
  std::optional<double> LimitPerSecond;
  /// How long it stays cold; none if it did not say.
  std::optional<duration> WarmupLeft;
  /// None if it told none, or one that makes no sense.
  std::optional<placement::told_load> Load;
  /// What it told in place of a load, if that makes no sense.
  std::optional<std::string> InvalidLoad;
};

/// Values that make no sense count as not said. Never fails.
target_feedback feedbackOf(const message::response &Response,
                           const header_names &Names);

} // namespace magnolia::gateway
