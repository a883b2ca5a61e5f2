#pragma once

#include <cstdint>
#include <optional>

#include "Placement/TargetEntry.h"

namespace magnolia::placement {

/// The load that a target tells in a response.
struct told_load {
  /// Requests that it runs and requests that wait for a slot.
  uint32_t Running = 0;
  uint32_t Waiting = 0;
  uint32_t Slots = 0;

  uint32_t requests() const { return Running + Waiting; }
};

/// The requests of other instances at one target, from what it tells in its
/// responses and from the reports of the peers. Load pattern: requests take
/// less time than reports between instances, so that these tell of requests
/// that have ended since; a response tells of the moment at which it was sent,
/// and is as good as unknown when the requests of that moment have ended.
///
/// What a target tells bounds nothing by itself: one that tells that it is idle
/// and refuses counts as full for a time, one that always tells that it is full
/// is known by its peers' reports again when that has passed. Reads no clock;
/// not thread-safe.
class load_estimate {
public:
  /// Records what the target told in a response, or null if it told nothing.
  /// \p OwnInFlight: requests of this instance there, the answered one
  /// included.
  void tell(const std::optional<told_load> &Load, uint32_t OwnInFlight,
            boot_time ReceivedAt);

  /// Records that the target refused a request: it counts as full until \p
  /// Until.
  void refuse(boot_time Until);

  /// Whether it refused a request a short time ago.
  bool isFull(boot_time Now) const { return Now < FullUntil; }

  /// Whether it told its load in its last response.
  bool isTold() const { return Told; }
  /// Time since it told its load; none if it did not.
  std::optional<duration> age(boot_time Now) const;

  /// Requests of other instances. \p Reported: those that they report; \p
  /// ServiceTime: how long a request takes on average.
  double othersAt(boot_time Now, uint32_t Reported, duration ServiceTime) const;

private:
  bool Told = false;
  uint32_t Others = 0;
  boot_time ToldAt;
  boot_time FullUntil;
};

/// How long the requests of a service take on average, as this instance sees
/// it: the mean of the last ones.
class service_time {
public:
  void observe(duration Took);
  /// A customary value before the first response.
  duration mean() const { return Mean; }

private:
  duration Mean = std::chrono::milliseconds(100);
};

} // namespace magnolia::placement
