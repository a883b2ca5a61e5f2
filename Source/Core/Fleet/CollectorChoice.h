#pragma once

#include <cstdint>
#include <string_view>

#include "Fleet/PeerView.h"

namespace magnolia::fleet {

/// How a failure domain selects the instances that collect its updates for the
/// other domains.
struct collector_settings {
  /// Number of instances that take turns, so that the failure of one delays
  /// only part of the updates until it is noticed.
  size_t Collectors = 2;
  /// A collector that sent nothing for this long is replaced.
  duration UnreachableAfter = std::chrono::milliseconds(900);
};

/// The instance that forwards this instance's next update to the other failure
/// domains, together with the updates of its neighbors; null if this instance
/// does it itself. The collectors are the first few ready instances of the own
/// domain, in an order that all of them compute alike, strong machines first.
/// No agreement is needed: if the views of two instances differ, more instances
/// collect, which only costs messages, and a receiver applies each update once,
/// whoever forwards it. \p Round increases with each update. Load pattern:
/// hundreds of instances that send four updates a second each; without
/// collectors the messages between domains grow with the square of their
/// number.
const peer *chooseCollector(const peer_view &Peers,
                            const instance_identity &Own,
                            const collector_settings &Settings, uint64_t Round,
                            boot_time Now);

} // namespace magnolia::fleet
