#pragma once

#include <cstdint>

namespace magnolia::placement {

/// The capacity of a service for further requests, as one instance knows it.
struct service_room {
  /// Slots of the targets that may be used now.
  uint32_t Slots = 0;
  /// Those of them that no known request uses.
  uint32_t FreeSlots = 0;

  /// Whether all known slots are in use. False without any target: nothing is
  /// known then.
  bool isUsedUp() const { return Slots > 0 && FreeSlots == 0; }
};

} // namespace magnolia::placement
