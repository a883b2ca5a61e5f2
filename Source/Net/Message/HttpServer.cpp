#include "Net/Message/HttpServer.h"

#include <unistd.h>
#include <vector>

namespace magnolia::message {

absl::StatusOr<std::unique_ptr<http_server>>
http_server::open(event::event_loop &Loop, std::string_view Address,
                  server_hooks Hooks, size_t ConnectionLimit) {
  std::unique_ptr<http_server> Server(
      new http_server(Loop, std::move(Hooks), ConnectionLimit));
  http_server *Raw = Server.get();
  auto Listener = event::listener::open(
      Loop, Address, [Raw](int Descriptor) { Raw->accept(Descriptor); });
  if (!Listener.ok())
    return Listener.status();
  Server->Listener = std::move(*Listener);
  Server->Address = Server->Listener->address();
  return Server;
}

http_server::~http_server() = default;

void http_server::accept(int Descriptor) {
  if (Connections.size() >= ConnectionLimit) {
    close(Descriptor);
    return;
  }
  // The hook removes the connection, which exists only after open() returned.
  const auto WeakConnection =
      std::make_shared<std::weak_ptr<server_connection>>();
  const auto Connection =
      server_connection::open(Loop, Descriptor, Hooks, [this, WeakConnection] {
        if (const auto Closed = WeakConnection->lock())
          Connections.erase(Closed);
      });
  *WeakConnection = Connection;
  Connections.insert(Connection);
}

void http_server::closeIdleConnections() {
  // Closing a connection removes it from the set.
  const std::vector<std::shared_ptr<server_connection>> Open(
      Connections.begin(), Connections.end());
  for (const auto &Connection : Open)
    Connection->closeIfIdle();
}

size_t http_server::pendingRequests() const {
  size_t Count = 0;
  for (const auto &Connection : Connections)
    Count += Connection->pendingRequests();
  return Count;
}

} // namespace magnolia::message
