#include "StandIns/FaultProxy/Socket.h"

#include <arpa/inet.h>
#include <cerrno>
#include <cstring>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

#include <absl/strings/numbers.h>

namespace magnolia::stand_ins {
namespace {

constexpr int ListenBacklog = 1024;

absl::StatusOr<sockaddr_in> parse(const std::string &Address) {
  const size_t Colon = Address.rfind(':');
  uint32_t Port = 0;
  sockaddr_in Result{};
  Result.sin_family = AF_INET;
  if (Colon == std::string::npos ||
      !absl::SimpleAtoi(Address.substr(Colon + 1), &Port) ||
      Port > UINT16_MAX ||
      ::inet_pton(AF_INET, Address.substr(0, Colon).c_str(),
                  &Result.sin_addr) != 1)
    return absl::InvalidArgumentError("no IPv4 address and port: " + Address);
  Result.sin_port = htons(static_cast<uint16_t>(Port));
  return Result;
}

socket_handle openSocket() {
  return socket_handle(
      ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
}

void setOption(const socket_handle &Socket, int Level, int Option) {
  const int On = 1;
  ::setsockopt(Socket.get(), Level, Option, &On, sizeof(On));
}

absl::Status errorFor(const std::string &Address) {
  return absl::UnavailableError(Address + ": " + std::strerror(errno));
}

} // namespace

socket_handle &socket_handle::operator=(socket_handle &&Other) noexcept {
  if (this != &Other) {
    reset();
    Descriptor = Other.release();
  }
  return *this;
}

int socket_handle::release() { return std::exchange(Descriptor, -1); }

void socket_handle::reset() {
  if (isOpen())
    ::close(release());
}

void socket_handle::abort() {
  const linger Abort{1, 0};
  ::setsockopt(Descriptor, SOL_SOCKET, SO_LINGER, &Abort, sizeof(Abort));
  reset();
}

absl::StatusOr<socket_handle> listenOn(const std::string &Address) {
  const auto Local = parse(Address);
  if (!Local.ok())
    return Local.status();
  socket_handle Socket = openSocket();
  setOption(Socket, SOL_SOCKET, SO_REUSEADDR);
  const auto *Raw = reinterpret_cast<const sockaddr *>(&*Local);
  if (::bind(Socket.get(), Raw, sizeof(*Local)) != 0 ||
      ::listen(Socket.get(), ListenBacklog) != 0)
    return errorFor(Address);
  return Socket;
}

uint16_t portOf(const socket_handle &Socket) {
  sockaddr_in Local{};
  socklen_t Length = sizeof(Local);
  ::getsockname(Socket.get(), reinterpret_cast<sockaddr *>(&Local), &Length);
  return ntohs(Local.sin_port);
}

absl::StatusOr<socket_handle> startConnect(const std::string &Address) {
  const auto Peer = parse(Address);
  if (!Peer.ok())
    return Peer.status();
  socket_handle Socket = openSocket();
  setOption(Socket, IPPROTO_TCP, TCP_NODELAY);
  const int Connected = ::connect(
      Socket.get(), reinterpret_cast<const sockaddr *>(&*Peer), sizeof(*Peer));
  if (Connected != 0 && errno != EINPROGRESS)
    return errorFor(Address);
  return Socket;
}

socket_handle acceptOn(const socket_handle &Listener) {
  socket_handle Socket(::accept4(Listener.get(), nullptr, nullptr,
                                 SOCK_NONBLOCK | SOCK_CLOEXEC));
  if (Socket.isOpen())
    setOption(Socket, IPPROTO_TCP, TCP_NODELAY);
  return Socket;
}

} // namespace magnolia::stand_ins
