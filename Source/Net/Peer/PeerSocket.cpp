#include "Net/Peer/PeerSocket.h"

#include <arpa/inet.h>
#include <cerrno>
#include <cstring>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

#include "Common/StringView.h"
#include "Common/YamlReader.h"

namespace magnolia::net {
namespace {

constexpr int ListenBacklog = 1024;

absl::Status errnoStatus(std::string_view Action) {
  return absl::UnavailableError(
      absl::StrCat(common::toAbsl(Action), ": ", std::strerror(errno)));
}

absl::StatusOr<sockaddr_in> parseAddress(std::string_view Text) {
  if (!common::isAddress(Text))
    return absl::InvalidArgumentError(
        absl::StrCat("not an IPv4:port address: ", common::toAbsl(Text)));
  const size_t Colon = Text.rfind(':');
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  uint32_t Port = 0;
  const std::string Host(Text.substr(0, Colon));
  if (inet_pton(AF_INET, Host.c_str(), &Address.sin_addr) != 1 ||
      !absl::SimpleAtoi(common::toAbsl(Text.substr(Colon + 1)), &Port))
    return absl::InvalidArgumentError("malformed address");
  Address.sin_port = htons(static_cast<uint16_t>(Port));
  return Address;
}

void setOption(int Descriptor, int Level, int Option) {
  const int On = 1;
  setsockopt(Descriptor, Level, Option, &On, sizeof(On));
}

unique_fd openTcp() {
  return unique_fd(
      socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
}

const sockaddr *asSockaddr(const sockaddr_in &Address) {
  return reinterpret_cast<const sockaddr *>(&Address);
}

} // namespace

unique_fd &unique_fd::operator=(unique_fd &&Other) noexcept {
  if (this != &Other) {
    reset();
    Descriptor = std::exchange(Other.Descriptor, -1);
  }
  return *this;
}

void unique_fd::reset() {
  if (Descriptor >= 0)
    close(Descriptor);
  Descriptor = -1;
}

absl::StatusOr<unique_fd> listenTcp(std::string_view Address) {
  const auto Parsed = parseAddress(Address);
  if (!Parsed.ok())
    return Parsed.status();
  unique_fd Socket = openTcp();
  if (!Socket.valid())
    return errnoStatus("socket");
  // Allows a restarted process to bind while old connections are in TIME_WAIT;
  // a second listener still fails.
  setOption(Socket.get(), SOL_SOCKET, SO_REUSEADDR);
  if (bind(Socket.get(), asSockaddr(*Parsed), sizeof(*Parsed)) != 0)
    return errnoStatus(absl::StrCat("bind ", common::toAbsl(Address)));
  if (listen(Socket.get(), ListenBacklog) != 0)
    return errnoStatus(absl::StrCat("listen ", common::toAbsl(Address)));
  return Socket;
}

absl::StatusOr<std::string> boundAddress(const unique_fd &Socket) {
  sockaddr_in Address{};
  socklen_t Length = sizeof(Address);
  if (getsockname(Socket.get(), reinterpret_cast<sockaddr *>(&Address),
                  &Length) != 0)
    return errnoStatus("getsockname");
  char Host[INET_ADDRSTRLEN] = {};
  inet_ntop(AF_INET, &Address.sin_addr, Host, sizeof(Host));
  return absl::StrCat(Host, ":", ntohs(Address.sin_port));
}

absl::StatusOr<unique_fd> startConnect(std::string_view Address) {
  const auto Parsed = parseAddress(Address);
  if (!Parsed.ok())
    return Parsed.status();
  unique_fd Socket = openTcp();
  if (!Socket.valid())
    return errnoStatus("socket");
  setOption(Socket.get(), IPPROTO_TCP, TCP_NODELAY);
  if (connect(Socket.get(), asSockaddr(*Parsed), sizeof(*Parsed)) != 0 &&
      errno != EINPROGRESS)
    return errnoStatus("connect");
  return Socket;
}

unique_fd acceptTcp(const unique_fd &Listener) {
  unique_fd Socket(
      accept4(Listener.get(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC));
  if (Socket.valid())
    setOption(Socket.get(), IPPROTO_TCP, TCP_NODELAY);
  return Socket;
}

int takeSocketError(const unique_fd &Socket) {
  int Error = 0;
  socklen_t Length = sizeof(Error);
  if (getsockopt(Socket.get(), SOL_SOCKET, SO_ERROR, &Error, &Length) != 0)
    return errno;
  return Error;
}

} // namespace magnolia::net
