#pragma once

#include <string_view>

#include "Fleet/PeerView.h"

namespace magnolia::fleet {

/// How the fleet selects the instances that read the store.
struct reader_settings {
  /// Number of instances that read it if none fails; the others receive changes
  /// from them.
  size_t Readers = 2;
  /// A reader that sent nothing for this long is replaced.
  duration UnreachableAfter = std::chrono::milliseconds(800);
  /// Each instance waits this much longer than the one before it in the order,
  /// so that one takes over instead of all.
  duration TakeOverStep = std::chrono::milliseconds(40);
  duration MaxTakeOverDelay = std::chrono::milliseconds(500);
};

/// The result of decideReader().
struct reader_decision {
  /// Whether enough other instances read the store without interruption.
  bool Covered = false;
  /// How long to wait before taking over if not covered.
  duration TakeOverDelay{0};
  /// Whether this instance is among the first in the order.
  bool Preferred = false;
  /// Whether this instance is on a strong machine among those that were
  /// compared.
  bool OnStrongMachine = false;
  /// Number of reachable instances before this one in the order.
  size_t ReachableBefore = 0;
};

/// Decides whether this instance reads the store for the fleet. The readers are
/// the first few, in an order that all instances compute alike, of those that
/// report reading it without interruption. Those on strong machines are before
/// the others, since a reader sends each change to all. No agreement is needed:
/// if the views of two instances differ, both read, which only costs calls; an
/// instance that knows of no reader reads itself. With a \p FailureDomain only
/// the instances of that domain count.
reader_decision decideReader(const peer_view &Peers,
                             const instance_identity &Own,
                             const reader_settings &Settings, boot_time Now,
                             std::string_view FailureDomain = {});

} // namespace magnolia::fleet
