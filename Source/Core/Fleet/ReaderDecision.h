#pragma once

#include <string_view>

#include "Fleet/PeerView.h"

namespace magnolia::fleet {

/// How many instances read the store.
struct reader_settings {
  /// Instances that read it while all is well; the others hear from them.
  size_t Readers = 2;
  /// A reader that was not heard for this long is replaced.
  duration UnreachableAfter = std::chrono::milliseconds(800);
  /// Each instance waits this much longer than the one before it in the order,
  /// so that one takes over and not all.
  duration TakeOverStep = std::chrono::milliseconds(40);
  duration MaxTakeOverDelay = std::chrono::milliseconds(500);
};

/// What an instance has to do.
struct reader_decision {
  /// Whether enough others read the store well.
  bool Covered = false;
  /// How long to wait before taking over, where they do not.
  duration TakeOverDelay{0};
  /// Whether this instance is among the first in the order.
  bool Preferred = false;
};

/// Which instances read the store for the fleet: the first few, in an order
/// that all compute alike, of those that say that they read it well. No
/// agreement is needed: two that differ in what they hear both read, which only
/// costs calls; one that hears of no reader reads itself.
reader_decision decideReader(const peer_view &Peers, std::string_view OwnName,
                             const reader_settings &Settings, boot_time Now);

} // namespace magnolia::fleet
