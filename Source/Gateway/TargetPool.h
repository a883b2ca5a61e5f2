#pragma once

#include <memory>
#include <vector>

#include <absl/container/flat_hash_map.h>

#include "Gateway/Settings.h"
#include "Net/Message/HttpClient.h"

namespace magnolia::gateway {

/// Pool of idle connections to targets. Closes each before its target would,
/// and reuses the most recently used one, whose path was confirmed last.
class target_pool {
public:
  target_pool(event::event_loop &Loop, const forward_settings &Settings)
      : Loop(Loop), Settings(Settings) {}

  /// Removes and returns a reusable idle connection; null if there is none.
  std::shared_ptr<message::client_connection>
  take(const placement::target_ref &Target);

  /// Returns a connection after an exchange; closes it if it cannot be reused.
  void release(const placement::target_ref &Target,
               std::shared_ptr<message::client_connection> Connection);

  /// Closes connections that were idle for too long or whose targets are
  /// removed or draining.
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
