#include "Net/Event/Listener.h"

#include <cerrno>
#include <netinet/tcp.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include "Common/StringView.h"
#include "Net/Event/Address.h"

namespace magnolia::event {
namespace {

/// A full accept queue drops the SYN, which is retransmitted after a second.
constexpr int Backlog = 4096;
/// Connections accepted per round, so that other descriptors are served too.
constexpr int MaxAcceptsPerRound = 32;

} // namespace

absl::StatusOr<std::unique_ptr<listener>>
listener::open(event_loop &Loop, std::string_view Address,
               accept_hook OnAccept) {
  const auto Parsed = parseAddress(Address);
  if (!Parsed.ok())
    return Parsed.status();
  const int Descriptor =
      socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (Descriptor < 0)
    return absl::ErrnoToStatus(errno, "socket");
  std::unique_ptr<listener> Listener(
      new listener(Loop, Descriptor, std::move(OnAccept)));
  const int On = 1;
  setsockopt(Descriptor, SOL_SOCKET, SO_REUSEADDR, &On, sizeof(On));
  if (bind(Descriptor, reinterpret_cast<const sockaddr *>(&*Parsed),
           sizeof(*Parsed)) != 0 ||
      ::listen(Descriptor, Backlog) != 0)
    return absl::ErrnoToStatus(errno, common::toAbsl(Address));
  const auto Bound = boundAddress(Descriptor);
  if (!Bound.ok())
    return Bound.status();
  Listener->Address = formatAddress(*Bound);
  listener *Raw = Listener.get();
  const absl::Status Watched = Loop.watch(
      Descriptor, EPOLLIN, [Raw](uint32_t) { Raw->acceptPending(); });
  if (!Watched.ok())
    return Watched;
  return Listener;
}

listener::~listener() {
  Loop.unwatch(Descriptor);
  close(Descriptor);
}

void listener::acceptPending() {
  for (int Index = 0; Index < MaxAcceptsPerRound; ++Index) {
    const int Accepted =
        accept4(Descriptor, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (Accepted < 0)
      return;
    const int On = 1;
    setsockopt(Accepted, IPPROTO_TCP, TCP_NODELAY, &On, sizeof(On));
    OnAccept(Accepted);
  }
}

} // namespace magnolia::event
