#include "Admission/ConcurrencyLimits.h"

#include <algorithm>
#include <cmath>

namespace magnolia::admission {
namespace {

/// Minimum limit as a fraction of a target's slots divided by its sharers. An
/// instance that competes with busier ones keeps nearly its share.
constexpr double MinLimitFraction = 0.8;

} // namespace

void concurrency_limits::setTargets(std::span<const target_slots> Usable,
                                    uint32_t Sharers) {
  const absl::MutexLock Lock(&Mutex);
  for (auto &[Name, State] : Targets)
    State.Usable = false;
  for (const target_slots &Target : Usable) {
    const auto [Found, IsNew] = Targets.try_emplace(Target.Name);
    target_state &State = Found->second;
    const double Share =
        static_cast<double>(Target.Slots) / std::max(1U, Sharers);
    State.Usable = true;
    State.Limit.Share = Share;
    State.Limit.Lowest = MinLimitFraction * Share;
    State.Limit.Highest = Target.Slots;
    State.Limit.Limit = std::clamp(IsNew ? Share : State.Limit.Limit,
                                   State.Limit.Lowest, State.Limit.Highest);
  }
  for (auto Entry = Targets.begin(); Entry != Targets.end();) {
    const target_state &State = Entry->second;
    const bool IsDone = !State.Usable && State.InFlight == 0;
    Entry = IsDone ? Targets.erase(Entry) : std::next(Entry);
  }
}

size_t concurrency_limits::capacity() const {
  const absl::MutexLock Lock(&Mutex);
  double Sum = 0;
  bool AnyUsable = false;
  for (const auto &[Name, State] : Targets) {
    if (!State.Usable)
      continue;
    AnyUsable = true;
    Sum += State.Limit.Limit;
  }
  if (!AnyUsable)
    return 0;
  return std::max<size_t>(1, static_cast<size_t>(std::lround(Sum)));
}

bool concurrency_limits::hasRoom(std::string_view Target) const {
  const absl::MutexLock Lock(&Mutex);
  const auto Found = Targets.find(std::string(Target));
  return Found != Targets.end() && hasRoomFor(Found->second);
}

bool concurrency_limits::hasRoomFor(const target_state &State) {
  return State.Usable && State.InFlight < std::ceil(State.Limit.Limit);
}

bool concurrency_limits::tryStart(std::string_view Target) {
  const absl::MutexLock Lock(&Mutex);
  const auto Found = Targets.find(std::string(Target));
  if (Found == Targets.end() || !hasRoomFor(Found->second))
    return false;
  ++Found->second.InFlight;
  return true;
}

void concurrency_limits::finish(std::string_view Target, target_outcome Outcome,
                                std::chrono::microseconds Latency,
                                common::boot_time Now) {
  const absl::MutexLock Lock(&Mutex);
  const auto Found = Targets.find(std::string(Target));
  if (Found == Targets.end() || Found->second.InFlight == 0)
    return;
  target_state &State = Found->second;
  Rule(State.Limit, {Outcome, Latency, State.InFlight, Now});
  --State.InFlight;
  if (!State.Usable && State.InFlight == 0)
    Targets.erase(Found);
}

std::vector<target_limit> concurrency_limits::limits() const {
  const absl::MutexLock Lock(&Mutex);
  std::vector<target_limit> Limits;
  for (const auto &[Name, State] : Targets)
    Limits.push_back({Name, State.Limit.Limit, State.InFlight});
  return Limits;
}

} // namespace magnolia::admission
