#include "Net/Upstream/Connection.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <cstring>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

namespace magnolia::net {
namespace {

using common::boot_clock;
using common::boot_time;

constexpr std::chrono::milliseconds MaxPollTime{60'000};

/// Milliseconds until \p Deadline, rounded up and at most MaxPollTime; zero if
/// it has passed.
int pollTimeout(boot_time Deadline) {
  const boot_time Now = boot_clock::now();
  if (Deadline <= Now)
    return 0;
  if (Deadline - Now > MaxPollTime)
    return static_cast<int>(MaxPollTime.count());
  const auto Remaining =
      std::chrono::ceil<std::chrono::milliseconds>(Deadline - Now);
  return static_cast<int>(Remaining.count());
}

/// Waits for one of \p Events; false if \p Deadline passes first.
bool pollUntil(int Descriptor, short Events, boot_time Deadline) {
  while (true) {
    pollfd Poll{Descriptor, Events, 0};
    const int Ready = ::poll(&Poll, 1, pollTimeout(Deadline));
    if (Ready > 0)
      return true;
    if (Ready < 0 && errno != EINTR)
      return true; // The next system call reports the error.
    if (boot_clock::now() >= Deadline)
      return false;
  }
}

absl::StatusOr<sockaddr_in> parseAddress(const std::string &Address) {
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

absl::Status connectError(const std::string &Address, int Code) {
  return absl::UnavailableError(
      absl::StrCat("cannot connect to ", Address, ": ", std::strerror(Code)));
}

absl::Status awaitConnected(int Descriptor, const std::string &Address,
                            boot_time Deadline) {
  if (!pollUntil(Descriptor, POLLOUT, Deadline))
    return absl::DeadlineExceededError("no connection in time to " + Address);
  int Code = 0;
  socklen_t Length = sizeof(Code);
  ::getsockopt(Descriptor, SOL_SOCKET, SO_ERROR, &Code, &Length);
  return Code == 0 ? absl::OkStatus() : connectError(Address, Code);
}

} // namespace

absl::StatusOr<std::shared_ptr<connection>>
connection::open(const std::string &Address, boot_time Deadline) {
  const auto Peer = parseAddress(Address);
  if (!Peer.ok())
    return Peer.status();
  const int Descriptor =
      ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (Descriptor < 0)
    return connectError(Address, errno);
  auto Connection = std::make_shared<connection>(Descriptor);
  const int Connected = ::connect(
      Descriptor, reinterpret_cast<const sockaddr *>(&*Peer), sizeof(*Peer));
  if (Connected != 0 && errno != EINPROGRESS)
    return connectError(Address, errno);
  const absl::Status Status = awaitConnected(Descriptor, Address, Deadline);
  if (!Status.ok())
    return Status;
  return Connection;
}

connection::connection(int Descriptor) : Descriptor(Descriptor) {
  const int Flags = ::fcntl(Descriptor, F_GETFL);
  ::fcntl(Descriptor, F_SETFL, Flags | O_NONBLOCK);
  // Without TCP_NODELAY, small writes wait for the other side's delayed
  // acknowledgement.
  const int On = 1;
  ::setsockopt(Descriptor, IPPROTO_TCP, TCP_NODELAY, &On, sizeof(On));
}

connection::~connection() { ::close(Descriptor); }

ssize_t connection::fail(io_error Error) {
  LastError = Cancelled.load() ? io_error::Cancelled : Error;
  return -1;
}

bool connection::awaitReady(short Events) {
  if (pollUntil(Descriptor, Events, Deadline))
    return true;
  fail(io_error::DeadlineExceeded);
  return false;
}

ssize_t connection::read(absl::Span<char> Buffer) {
  while (true) {
    if (!awaitReady(POLLIN))
      return -1;
    const ssize_t Count = ::recv(Descriptor, Buffer.data(), Buffer.size(), 0);
    if (Count > 0) {
      BytesRead += static_cast<uint64_t>(Count);
      return Count;
    }
    if (Count < 0 && (errno == EINTR || errno == EAGAIN))
      continue;
    return fail(io_error::Closed);
  }
}

ssize_t connection::write(absl::Span<const char> Bytes) {
  while (true) {
    if (Cancelled.load())
      return fail(io_error::Cancelled);
    const ssize_t Count =
        ::send(Descriptor, Bytes.data(), Bytes.size(), MSG_NOSIGNAL);
    if (Count > 0) {
      BytesWritten += static_cast<uint64_t>(Count);
      return Count;
    }
    if (Count < 0 && errno != EINTR && errno != EAGAIN)
      return fail(io_error::Closed);
    if (!awaitReady(POLLOUT))
      return -1;
  }
}

void connection::cancel() {
  Cancelled.store(true);
  ::shutdown(Descriptor, SHUT_RDWR);
}

bool connection::isIdle() const {
  pollfd Poll{Descriptor, POLLIN | POLLRDHUP, 0};
  return ::poll(&Poll, 1, 0) == 0;
}

bool connection::awaitReadable(boot_time When) const {
  return pollUntil(Descriptor, POLLIN | POLLRDHUP, When);
}

} // namespace magnolia::net
