#include "Request/SecondSend.h"

#include <array>
#include <cstddef>

namespace magnolia::request {

std::string_view nameOf(second_send_reason Reason) {
  constexpr std::array<std::string_view,
                       static_cast<size_t>(second_send_reason::Count)>
      Names = {"start",           "not_repeatable", "no_other_target",
               "latency_unknown", "too_early",      "deadline_too_near",
               "targets_slow",    "room_short",     "reserved_for_retries",
               "limit_reached"};
  return Names.at(static_cast<size_t>(Reason));
}

second_send_reason decideSecondSend(const second_send_settings &Settings,
                                    const second_send_state &State) {
  if (!State.Repeatable)
    return second_send_reason::NotRepeatable;
  if (!State.HasOtherTarget)
    return second_send_reason::NoOtherTarget;
  if (!State.Delay)
    return second_send_reason::LatencyUnknown;
  if (State.Waited < *State.Delay)
    return second_send_reason::TooEarly;
  const std::chrono::duration<double, std::micro> Needed =
      State.UsualLatency * Settings.MinRunsLeft;
  if (State.TimeLeft < Needed)
    return second_send_reason::DeadlineTooNear;
  if (State.MedianRise >= Settings.MaxMedianRise ||
      State.LateFraction >= Settings.MaxLateFraction)
    return second_send_reason::TargetsSlow;
  if (State.FreeFraction < Settings.MinFreeFraction)
    return second_send_reason::RoomShort;
  return second_send_reason::Start;
}

} // namespace magnolia::request
