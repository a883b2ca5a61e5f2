#include "Net/Http/Socket.h"

#include <arpa/inet.h>
#include <cerrno>
#include <cstring>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

namespace magnolia::http {
namespace {

/// Connections that may wait to be accepted.
constexpr int ListenBacklog = 1024;

std::string formatAddress(const sockaddr_in &Address) {
  char Host[INET_ADDRSTRLEN] = {};
  inet_ntop(AF_INET, &Address.sin_addr, Host, sizeof(Host));
  return absl::StrCat(Host, ":", ntohs(Address.sin_port));
}

absl::Status errnoStatus(const std::string &Operation) {
  return absl::UnavailableError(
      absl::StrCat(Operation, ": ", std::strerror(errno)));
}

absl::StatusOr<sockaddr_in> parseAddress(const std::string &Text) {
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_port = htons(portOf(Text));
  const std::string Host = Text.substr(0, Text.rfind(':'));
  if (inet_pton(AF_INET, Host.c_str(), &Address.sin_addr) != 1)
    return absl::InvalidArgumentError(
        absl::StrCat("'", Text, "' is not an IPv4:port address"));
  return Address;
}

} // namespace

descriptor::~descriptor() {
  if (Number >= 0)
    close(Number);
}

descriptor &descriptor::operator=(descriptor &&Other) noexcept {
  std::swap(Number, Other.Number);
  return *this;
}

uint16_t portOf(const std::string &Address) {
  uint32_t Port = 0;
  if (!absl::SimpleAtoi(Address.substr(Address.rfind(':') + 1), &Port))
    return 0;
  return static_cast<uint16_t>(Port);
}

absl::StatusOr<descriptor> listenOn(const std::string &Address) {
  const auto Parsed = parseAddress(Address);
  if (!Parsed.ok())
    return Parsed.status();
  descriptor Socket(
      socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  if (!Socket.valid())
    return errnoStatus("socket");
  const int On = 1;
  setsockopt(Socket.get(), SOL_SOCKET, SO_REUSEADDR, &On, sizeof(On));
  const auto *Raw = reinterpret_cast<const sockaddr *>(&*Parsed);
  if (bind(Socket.get(), Raw, sizeof(*Parsed)) != 0)
    return errnoStatus(absl::StrCat("cannot bind ", Address));
  if (listen(Socket.get(), ListenBacklog) != 0)
    return errnoStatus(absl::StrCat("cannot listen on ", Address));
  return Socket;
}

std::string localAddressOf(int Socket) {
  sockaddr_in Address{};
  socklen_t Size = sizeof(Address);
  getsockname(Socket, reinterpret_cast<sockaddr *>(&Address), &Size);
  return formatAddress(Address);
}

std::string peerAddressOf(int Socket) {
  sockaddr_in Address{};
  socklen_t Size = sizeof(Address);
  getpeername(Socket, reinterpret_cast<sockaddr *>(&Address), &Size);
  return formatAddress(Address);
}

} // namespace magnolia::http
