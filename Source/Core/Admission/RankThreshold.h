#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <vector>

#include "Common/Time.h"

namespace magnolia::admission {

/// The load of one service over the fleet, as one instance knows it.
struct service_load {
  /// Slots of the targets that may be used now.
  uint32_t Slots = 0;
  /// Those of them that no known request uses. The requests of other instances
  /// are known as of their last report.
  uint32_t FreeSlots = 0;
  /// Requests per second that targets took, and that they refused to run.
  double TakenPerSecond = 0;
  double RefusedPerSecond = 0;
  /// The usual time for which a request holds a slot.
  std::chrono::microseconds SlotTime{0};
  /// Requests per second that arrive, by rank; the most urgent first.
  std::vector<double> Demand;

  /// Fraction of the slots that is free; one without any: nothing is known.
  double freeFraction() const;
  /// Fraction of the requests that targets refused to run.
  double refusedFraction() const;
};

/// When a service counts as short of room, and how it is shared then.
struct threshold_settings {
  /// A service with at most this fraction of free slots is short.
  double UsedUpFraction = 0.03;
  /// Use by others is known late, so a service whose slots are all in use shows
  /// up to this fraction as free. It is short if its targets refuse requests.
  double TightFraction = 0.45;
  double RefusedFraction = 0.3;
  /// Part of the admitted requests that lesser ranks get together, as far as
  /// they ask for it.
  double LesserRankShare = 0.1;
  /// The admitted rate changes once in this time.
  std::chrono::milliseconds Period{100};
  /// Time until the effect of a changed rate is known.
  std::chrono::milliseconds Settling{500};
  /// The admitted rate relative to what targets take. It is noticed then when
  /// they take more, and slots do not stay free because the target chosen for a
  /// request happens to be in use.
  double Headroom = 2;
  /// Factor on the admitted rate for each period without shortage, and with
  /// more free slots than RoomyFraction.
  double Growth = 1.04;
  double RoomyGrowth = 1.15;
  double RoomyFraction = 0.6;
  /// The shortage ends when this many times the demand is admitted and nothing
  /// has shown it for as long as Settling.
  double ReopenAt = 1.25;
  /// Least admitted rate for each slot, in requests per second.
  double MinPerSlot = 0.1;
};

/// How much of each rank's requests a service that is short of room admits. All
/// instances decide by the same figures of the whole fleet, so an urgent
/// request at a busy instance is not refused for the least urgent one at an
/// idle instance. The admitted rate follows what targets take; the ranks get it
/// in their order. Load pattern: the requests for a service with many targets
/// of two slots double within a second, at 166 instances that know each other's
/// requests half a second late; some seconds later the load ends. Reads no
/// clock; not thread-safe.
class rank_threshold {
public:
  explicit rank_threshold(const threshold_settings &Settings = {})
      : Settings(Settings) {}

  /// Takes over the load as known at \p Now.
  void update(const service_load &Load, common::boot_time Now);

  /// Whether the service is short of room. All is admitted otherwise.
  bool isShort() const { return Short; }

  /// The fraction of the requests of \p Rank that is admitted.
  double shareOf(size_t Rank) const;

  /// Requests per second that are admitted over the fleet while it is short.
  double admittedPerSecond() const { return Admitted; }

private:
  bool isPressed(const service_load &Load) const;
  void begin(const service_load &Load, common::boot_time Now);
  void step(const service_load &Load, common::boot_time Now);
  void shareOut(const std::vector<double> &Demand);

  const threshold_settings Settings;
  bool Short = false;
  double Admitted = 0;
  /// By rank.
  std::vector<double> Shares;
  common::boot_time ShortSince;
  /// When the load last showed the shortage.
  common::boot_time LastPressed;
  common::boot_time LastStep;
};

} // namespace magnolia::admission
