#include "Net/Message/HttpServer.h"

#include <unistd.h>

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
  for (const auto &Connection : openConnections())
    Connection->closeIfIdle();
}

void http_server::endBlocking(
    const std::function<bool(const admission::blocked_responses &Blocked,
                             size_t AllBytes)> &IsDue) {
  size_t AllBytes = 0;
  for (const auto &Connection : Connections)
    AllBytes += Connection->blockedResponses().Bytes;
  for (const auto &Connection : openConnections()) {
    const admission::blocked_responses Blocked = Connection->blockedResponses();
    if (Blocked.Count > 0 && IsDue(Blocked, AllBytes))
      Connection->endBlocking();
  }
}

void http_server::endUnanswered() {
  for (const auto &Connection : openConnections())
    Connection->endUnanswered();
}

size_t http_server::unsentBytes() const {
  size_t Bytes = 0;
  for (const auto &Connection : Connections)
    Bytes += Connection->unsentBytes();
  return Bytes;
}

size_t http_server::pendingRequests() const {
  size_t Count = 0;
  for (const auto &Connection : Connections)
    Count += Connection->pendingRequests();
  return Count;
}

} // namespace magnolia::message
