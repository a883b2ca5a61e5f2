#pragma once

#include <cstdint>
#include <string_view>
#include <vector>

#include "Fleet/PeerView.h"

namespace magnolia::fleet {

/// The receivers of a message for all other failure domains.
struct relay_plan {
  /// Forward the message to every instance of their failure domain.
  std::vector<const peer *> Relays;
  /// Receive the message without forwarding it.
  std::vector<const peer *> Direct;
};

/// Plans the receivers of one message. Traffic between failure domains is
/// expensive, so the message goes to \p RelaysPerDomain instances of each other
/// domain, which forward it there. \p Round increases with each message to
/// rotate the relays: a relay that died unnoticed costs single messages, and
/// later ones make up for them. In a domain without reachable instances, or
/// with no more instances than relays, all receive the message directly.
relay_plan planRelays(const peer_view &Peers, std::string_view OwnDomain,
                      size_t RelaysPerDomain, uint64_t Round, boot_time Now);

} // namespace magnolia::fleet
