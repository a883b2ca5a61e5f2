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
/// that a message goes there once and is passed on inside; \p RelaysPerDomain
/// of them where its loss would cost requests. \p Round changes from message to
/// message, so that a relay which is gone without being noticed costs single
/// messages and the next ones make up for them. A domain in which nobody was
/// heard lately, or that has no more instances than relays, is sent the message
/// directly.
relay_plan planRelays(const peer_view &Peers, std::string_view OwnDomain,
                      size_t RelaysPerDomain, uint64_t Round, boot_time Now);

} // namespace magnolia::fleet
