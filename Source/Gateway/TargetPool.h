#pragma once

#include <memory>
#include <vector>

#include <absl/container/flat_hash_map.h>

#include "Gateway/Settings.h"
#include "Net/Message/HttpClient.h"

namespace magnolia::gateway {

/// The idle connections to targets. Closes each before its target would, and
/// hands out the one used last, whose path has the newest proof.
class target_pool {
public:
  target_pool(event::event_loop &Loop, const forward_settings &Settings)
      : Loop(Loop), Settings(Settings) {}

  /// An idle connection that may carry a request now; null when there is none.
  std::shared_ptr<message::client_connection>
  take(const placement::target_ref &Target);

  /// Gives a connection back after an exchange; closes it if it is of no
  /// further use.
  void release(const placement::target_ref &Target,
               std::shared_ptr<message::client_connection> Connection);

  /// Closes what was idle for too long and what leads to targets that are gone.
  void sweep();

  size_t idle() const;

private:
  using connections = std::vector<std::shared_ptr<message::client_connection>>;

  bool expired(const message::client_connection &Connection) const;
  void drop(const placement::target_ref &Target,
            const message::client_connection *Connection);

  event::event_loop &Loop;
  const forward_settings &Settings;
  absl::flat_hash_map<placement::target_ref, connections> Idle;
};

} // namespace magnolia::gateway
