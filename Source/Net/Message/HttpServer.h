#pragma once

#include <functional>
#include <memory>
#include <vector>

#include <absl/container/flat_hash_set.h>
#include <absl/status/statusor.h>

#include "Net/Event/Listener.h"
#include "Net/Message/ServerConnection.h"

namespace magnolia::message {

/// An HTTP/1.1 server on one address that runs on an event loop: its hooks must
/// not block. http::http_server runs its handler on threads instead.
class http_server {
public:
  static absl::StatusOr<std::unique_ptr<http_server>>
  open(event::event_loop &Loop, std::string_view Address, server_hooks Hooks,
       size_t ConnectionLimit);
  ~http_server();
  http_server(const http_server &) = delete;
  http_server &operator=(const http_server &) = delete;

  /// Stops accepting connections.
  void stopListening() { Listener.reset(); }

  /// Closes the connections on which no request is being read or served.
  void closeIdleConnections();

  /// Ends the requests behind which complete responses wait, on connections
  /// where \p IsDue; \p AllBytes: of such responses on all connections.
  void endBlocking(
      const std::function<bool(const admission::blocked_responses &Blocked,
                               size_t AllBytes)> &IsDue);
  /// Ends all requests that have no response.
  void endUnanswered();

  /// Requests that were read and have no response yet.
  size_t pendingRequests() const;
  /// Bytes of responses that were not passed to the system yet.
  size_t unsentBytes() const;
  size_t connections() const { return Connections.size(); }
  const std::string &address() const { return Address; }

private:
  http_server(event::event_loop &Loop, server_hooks Hooks,
              size_t ConnectionLimit)
      : Loop(Loop), Hooks(std::move(Hooks)), ConnectionLimit(ConnectionLimit) {}
  void accept(int Descriptor);
  using connection_list = std::vector<std::shared_ptr<server_connection>>;
  /// A copy: connections that close leave the set.
  connection_list openConnections() const {
    return {Connections.begin(), Connections.end()};
  }

  event::event_loop &Loop;
  const server_hooks Hooks;
  const size_t ConnectionLimit;
  std::string Address;
  std::unique_ptr<event::listener> Listener;
  absl::flat_hash_set<std::shared_ptr<server_connection>> Connections;
};

} // namespace magnolia::message
