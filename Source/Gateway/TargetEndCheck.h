#pragma once

#include <functional>
#include <memory>
#include <vector>

#include <absl/container/flat_hash_map.h>

#include "Gateway/TargetPool.h"
#include "Net/Event/EventLoop.h"
#include "Net/Message/HttpClient.h"

namespace magnolia::gateway {

/// Finds out whether a target whose connection was lost has ended: nothing
/// listens at its address then. A target that reset a single request accepts
/// the connection, which is kept for later requests.
class target_end_check {
public:
  using ended_hook = std::function<void()>;
  /// Starts to connect to a target; null on an error.
  using connector = std::function<std::shared_ptr<message::client_connection>(
      const placement::target &Target)>;

  /// Without a connection within \p ConnectTimeout nothing is known of a
  /// target.
  target_end_check(event::event_loop &Loop, duration ConnectTimeout,
                   target_pool &Pool, connector Connect)
      : Loop(Loop), ConnectTimeout(ConnectTimeout), Pool(Pool),
        Connect(std::move(Connect)) {}

  /// Calls \p OnEnded soon if \p Target has ended. Checks of one target at the
  /// same time share a connection.
  void check(const placement::target_ref &Target, ended_hook OnEnded);

private:
  struct pending_check {
    std::vector<ended_hook> Hooks;
    std::shared_ptr<message::client_connection> Connection;
    event::event_loop::timer_id Timer = 0;
  };

  void tryConnection(const placement::target_ref &Target);
  void finish(const placement::target_ref &Target, bool Ended);

  event::event_loop &Loop;
  const duration ConnectTimeout;
  target_pool &Pool;
  const connector Connect;
  absl::flat_hash_map<placement::target_ref, pending_check> Pending;
};

} // namespace magnolia::gateway
