#pragma once

#include <cstdint>
#include <string_view>
#include <vector>

#include "Fleet/PeerView.h"

namespace magnolia::fleet {

/// Whom an instance sends a message that is meant for all other failure
/// domains.
struct relay_plan {
  /// Pass it on to every instance of their own failure domain.
  std::vector<const peer *> Relays;
  /// Get it for themselves alone.
  std::vector<const peer *> Direct;
};

/// Plans the sending of one message. Bytes between failure domains are dear, so
/// it goes to \p RelaysPerDomain instances of each other domain, which pass it
/// on there. \p Round grows from message to message, so that each takes other
/// relays: one that died unnoticed costs single messages, and later ones make
/// up for them. Where nobody was heard lately, or there are no more instances
/// than relays, all get the message directly.
relay_plan planRelays(const peer_view &Peers, std::string_view OwnDomain,
                      size_t RelaysPerDomain, uint64_t Round, boot_time Now);

} // namespace magnolia::fleet
