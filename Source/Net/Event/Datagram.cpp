#include "Net/Event/Datagram.h"

#include <array>
#include <cerrno>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include "Common/StringView.h"
#include "Net/Event/Address.h"

namespace magnolia::event {
namespace {

constexpr size_t MaxDatagramBytes = size_t{64} * 1024;
/// Datagrams received per round, so that other descriptors are served too.
constexpr int MaxReceivesPerRound = 32;

} // namespace

absl::StatusOr<std::unique_ptr<datagram_socket>>
datagram_socket::open(event_loop &Loop, std::string_view Address,
                      receive_hook OnReceive) {
  const auto Parsed = parseAddress(Address);
  if (!Parsed.ok())
    return Parsed.status();
  const int Descriptor =
      socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (Descriptor < 0)
    return absl::ErrnoToStatus(errno, "socket");
  std::unique_ptr<datagram_socket> Socket(
      new datagram_socket(Loop, Descriptor, std::move(OnReceive)));
  if (bind(Descriptor, reinterpret_cast<const sockaddr *>(&*Parsed),
           sizeof(*Parsed)) != 0)
    return absl::ErrnoToStatus(errno, common::toAbsl(Address));
  const auto Bound = boundAddress(Descriptor);
  if (!Bound.ok())
    return Bound.status();
  Socket->Address = formatAddress(*Bound);
  datagram_socket *Raw = Socket.get();
  const absl::Status Watched = Loop.watch(
      Descriptor, EPOLLIN, [Raw](uint32_t) { Raw->receivePending(); });
  if (!Watched.ok())
    return Watched;
  return Socket;
}

datagram_socket::~datagram_socket() {
  Loop.unwatch(Descriptor);
  close(Descriptor);
}

bool datagram_socket::send(const sockaddr_in &To, std::string_view Bytes) {
  return sendto(Descriptor, Bytes.data(), Bytes.size(), MSG_NOSIGNAL,
                reinterpret_cast<const sockaddr *>(&To), sizeof(To)) >= 0;
}

void datagram_socket::receivePending() {
  std::array<char, MaxDatagramBytes> Buffer; // NOLINT: filled by recvfrom
  for (int Index = 0; Index < MaxReceivesPerRound; ++Index) {
    sockaddr_in From{};
    socklen_t Size = sizeof(From);
    const ssize_t Count = recvfrom(Descriptor, Buffer.data(), Buffer.size(), 0,
                                   reinterpret_cast<sockaddr *>(&From), &Size);
    if (Count < 0)
      return;
    OnReceive(From, {Buffer.data(), static_cast<size_t>(Count)});
  }
}

} // namespace magnolia::event
