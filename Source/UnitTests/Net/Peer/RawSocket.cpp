#include "RawSocket.h"

#include <array>
#include <cerrno>
#include <fcntl.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace magnolia::net::testing {
namespace {

constexpr int TimeoutMs = 20000;

bool awaitReady(const unique_fd &Socket, short Events) {
  pollfd Poll{Socket.get(), Events, 0};
  return poll(&Poll, 1, TimeoutMs) == 1;
}

} // namespace

unique_fd connectRaw(const std::string &Address) {
  auto Socket = startConnect(Address);
  if (!Socket.ok() || !awaitReady(*Socket, POLLOUT))
    return {};
  return *std::move(Socket);
}

unique_fd listenRaw(std::string &Address) {
  auto Listener = listenTcp("127.0.0.1:0");
  if (!Listener.ok())
    return {};
  Address = boundAddress(*Listener).value_or("");
  return *std::move(Listener);
}

unique_fd acceptRaw(const unique_fd &Listener) {
  if (!awaitReady(Listener, POLLIN))
    return {};
  return acceptTcp(Listener);
}

void writeRaw(const unique_fd &Socket, std::string_view Bytes) {
  [[maybe_unused]] const ssize_t Count =
      ::send(Socket.get(), Bytes.data(), Bytes.size(), MSG_NOSIGNAL);
}

std::string readRaw(const unique_fd &Socket) {
  std::array<char, 4096> Buffer;
  if (!awaitReady(Socket, POLLIN))
    return {};
  const ssize_t Count = recv(Socket.get(), Buffer.data(), Buffer.size(), 0);
  return Count > 0 ? std::string(Buffer.data(), static_cast<size_t>(Count))
                   : std::string();
}

bool readToEnd(const unique_fd &Socket) {
  std::array<char, 4096> Buffer;
  while (awaitReady(Socket, POLLIN)) {
    const ssize_t Count = recv(Socket.get(), Buffer.data(), Buffer.size(), 0);
    // If the other side closes with unread bytes, TCP sends a reset.
    if (Count == 0 || (Count < 0 && errno == ECONNRESET))
      return true;
    if (Count < 0 && errno != EAGAIN)
      return false;
  }
  return false;
}

} // namespace magnolia::net::testing
