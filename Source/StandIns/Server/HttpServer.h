#pragma once

#include <atomic>
#include <functional>
#include <string>
#include <thread>

#include <absl/status/statusor.h>
#include <httplib.h>

#include "Net/Upstream/Connection.h"

/// What the small stand-ins for targets and the network share.
namespace magnolia::stand_ins {

/// The connection that the current thread serves, for handlers that have to
/// misbehave below HTTP or to watch for their caller.
struct served_connection {
  net::connection &Connection;
  /// Set by a handler that has written its own bytes: nothing more is written
  /// and the connection is closed.
  bool Abandoned = false;
};

/// An HTTP server with a thread for each connection, added on demand.
class http_server : public httplib::Server {
public:
  http_server();
  ~http_server() override;

  /// Listens on "IPv4:port" and serves on a thread of its own; returns the
  /// port, which the system chooses for port 0.
  absl::StatusOr<int> start(const std::string &Address);

  /// Takes no new connections and returns when all requests are answered.
  void finish();

  bool isStopping() const { return Stopping.load(); }

  /// The connection of the calling thread; only inside a handler.
  static served_connection &current();

private:
  bool process_and_close_socket(socket_t Socket) override;
  bool awaitRequest(const net::connection &Connection) const;

  std::atomic<int> ListenDescriptor{-1};
  std::atomic<bool> Stopping = false;
  std::thread Thread;
};

} // namespace magnolia::stand_ins
