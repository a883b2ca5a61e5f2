#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>

#include "Fleet/SlidingCount.h"

namespace magnolia::fleet {

/// The part of the fleet that an instance knows.
struct fleet_part {
  /// The fraction of the fleet whose use is known here.
  double Reachable = 1;
  /// Instances that are reachable, this one included.
  size_t Instances = 1;
};

/// How a bound over the fleet is divided.
struct use_settings {
  duration Window = std::chrono::seconds(10);
  /// Time in which a use becomes known to all peers. In any such time an
  /// instance uses its part of what is left of the bound and no more.
  duration ReportTime = std::chrono::milliseconds(750);
  /// A number that differs between the instances.
  uint64_t Instance = 0;
};

/// The result of use_window::tryUse() and what it was decided on.
struct use_decision {
  bool Granted = false;
  /// Uses of the fleet in the window, as known to this instance and before this
  /// decision.
  double Used = 0;
  double Bound = 0;
  /// Own uses that peers may not know of yet.
  size_t Unreported = 0;
  /// How many of those this instance may have.
  double OwnPart = 0;
};

/// Uses of something that is bounded over the whole fleet, in a sliding window.
/// What is left of the bound is divided among the instances for the time in
/// which their uses are unknown to each other, so that it is never used twice,
/// however fast it is asked for. Reads no clock; not thread-safe.
class use_window {
public:
  /// What tryUse() would decide now.
  use_decision decide(const use_settings &Settings, uint32_t Key, double Bound,
                      const fleet_part &Fleet, boot_time Now) const;

  /// Counts one use if at most \p Bound in the window are known and this
  /// instance's part is not used up. \p Key: that of the use, for the rounding
  /// of parts.
  use_decision tryUse(const use_settings &Settings, uint32_t Key, double Bound,
                      const fleet_part &Fleet, boot_time Now);

  /// Counts uses of peers.
  void chargePeers(const use_settings &Settings, double PeerUses,
                   boot_time Now);

  /// Uses of the fleet in the window that ends at \p Now.
  double usedAt(const use_settings &Settings, boot_time Now) const;

private:
  sliding_count Uses;
  /// Times of own uses that peers may not know of yet.
  std::deque<boot_time> Unreported;
};

} // namespace magnolia::fleet
