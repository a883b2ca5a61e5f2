#include "Net/Http/Connection.h"

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>

#include "Net/Http/HeadInspector.h"

namespace magnolia::http {
namespace {

using std::chrono::milliseconds;

constexpr size_t ReadBufferBytes = 16 * size_t{1024};
/// How long a connection is kept after its last response.
constexpr milliseconds LingerTime{200};
/// The same while the caller still sends the body of a refused request: many
/// callers read the response only after they have sent everything.
constexpr milliseconds UnreadLingerTime{5000};
/// Longest wait for the next bytes of such a body.
constexpr milliseconds UnreadLingerWait{1000};

bool await(int Socket, short Events, std::chrono::milliseconds Timeout) {
  pollfd Poll{Socket, Events, 0};
  int Ready = 0;
  do {
    Ready = poll(&Poll, 1, static_cast<int>(Timeout.count()));
  } while (Ready < 0 && errno == EINTR);
  return Ready > 0;
}

bool wouldBlock() { return errno == EAGAIN || errno == EWOULDBLOCK; }

} // namespace

connection::connection(descriptor Accepted)
    : Socket(std::move(Accepted)), Caller(peerAddressOf(Socket.get())) {
  const int On = 1;
  setsockopt(Socket.get(), IPPROTO_TCP, TCP_NODELAY, &On, sizeof(On));
}

connection::fill_result connection::fillHead(size_t MaxHeadBytes) {
  Buffer.erase(0, Position);
  Position = 0;
  while (true) {
    if (const auto End = findHeadEnd(Buffer)) {
      HeadSize = *End;
      return *End <= MaxHeadBytes ? fill_result::HeadComplete
                                  : fill_result::TooLarge;
    }
    if (Buffer.size() > MaxHeadBytes)
      return fill_result::TooLarge;
    char Bytes[ReadBufferBytes];
    const ssize_t Count =
        recv(Socket.get(), Bytes, sizeof(Bytes), MSG_DONTWAIT);
    if (Count > 0) {
      Buffer.append(Bytes, static_cast<size_t>(Count));
      continue;
    }
    if (Count < 0 && errno == EINTR)
      continue;
    if (Count < 0 && wouldBlock())
      return fill_result::NeedMore;
    return fill_result::Closed;
  }
}

std::string_view connection::head() const {
  return std::string_view(Buffer).substr(0, HeadSize);
}

void connection::replaceBuffer(std::string_view Bytes) {
  Buffer = std::string(Bytes);
  Position = 0;
  HeadSize = Buffer.size();
}

ssize_t connection::read(char *Bytes, size_t Size,
                         std::chrono::milliseconds Timeout) {
  if (hasBuffered()) {
    const size_t Count = std::min(Size, Buffer.size() - Position);
    std::memcpy(Bytes, Buffer.data() + Position, Count);
    Position += Count;
    return static_cast<ssize_t>(Count);
  }
  while (true) {
    const ssize_t Count = recv(Socket.get(), Bytes, Size, MSG_DONTWAIT);
    if (Count >= 0)
      return Count;
    if (errno == EINTR)
      continue;
    if (!wouldBlock() || !await(Socket.get(), POLLIN, Timeout))
      return -1;
  }
}

ssize_t connection::write(const char *Bytes, size_t Size,
                          std::chrono::milliseconds Timeout) {
  size_t Written = 0;
  while (Written < Size) {
    const ssize_t Count = send(Socket.get(), Bytes + Written, Size - Written,
                               MSG_DONTWAIT | MSG_NOSIGNAL);
    if (Count >= 0) {
      Written += static_cast<size_t>(Count);
      continue;
    }
    if (errno == EINTR)
      continue;
    if (!wouldBlock() || !await(Socket.get(), POLLOUT, Timeout))
      return -1;
  }
  return static_cast<ssize_t>(Written);
}

void connection::shutdownAndLinger() {
  shutdown(Socket.get(), SHUT_WR);
  const milliseconds Limit = HasUnreadBody ? UnreadLingerTime : LingerTime;
  const milliseconds Wait = HasUnreadBody ? UnreadLingerWait : LingerTime;
  const common::boot_time Deadline = common::boot_clock::now() + Limit;
  char Bytes[ReadBufferBytes];
  while (common::boot_clock::now() < Deadline) {
    if (!await(Socket.get(), POLLIN, Wait))
      return;
    if (recv(Socket.get(), Bytes, sizeof(Bytes), MSG_DONTWAIT) <= 0)
      return;
  }
}

void connection::setDisconnectHook(std::function<void()> Hook) {
  const absl::MutexLock Lock(&HookMutex);
  DisconnectHook = std::move(Hook);
}

void connection::callDisconnectHook() {
  // The lock is held during the call, so that a hook never runs after it is
  // cleared.
  const absl::MutexLock Lock(&HookMutex);
  if (DisconnectHook)
    DisconnectHook();
}

} // namespace magnolia::http
