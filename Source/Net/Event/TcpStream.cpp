#include "Net/Event/TcpStream.h"

#include <array>
#include <cerrno>
#include <netinet/tcp.h>
#include <sys/epoll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

#include <linux/sockios.h>

namespace magnolia::event {
namespace {

constexpr size_t ReadBufferBytes = size_t{16} * 1024;
/// Reads per connection and round, so that other connections are served too.
constexpr int MaxReadsPerRound = 8;
/// Capacity of the buffer for unsent bytes that is kept for later ones.
constexpr size_t MaxKeptBytes = size_t{64} * 1024;

/// Every peer has room for this much, so that no room is waited for.
constexpr size_t SmallWriteBytes = size_t{2} * 1024;
/// Checks for room within the time after which a peer would count as dead.
constexpr int RoomChecks = 3;

void setOption(int Descriptor, int Level, int Name, int Value) {
  setsockopt(Descriptor, Level, Name, &Value, sizeof(Value));
}

/// Bytes that the system holds for the peer.
struct held_bytes {
  /// Sent, and not acknowledged yet.
  int InFlight = 0;
  int NotSent = 0;
};

/// Empty if the system does not say it.
std::optional<held_bytes> heldBytesOf(int Descriptor) {
  int All = 0;
  held_bytes Held;
  if (ioctl(Descriptor, SIOCOUTQ, &All) != 0 ||
      ioctl(Descriptor, SIOCOUTQNSD, &Held.NotSent) != 0)
    return std::nullopt;
  Held.InFlight = All - Held.NotSent;
  return Held;
}

} // namespace

std::shared_ptr<tcp_stream> tcp_stream::adopt(event_loop &Loop, int Descriptor,
                                              stream_hooks Hooks) {
  std::shared_ptr<tcp_stream> Stream(
      new tcp_stream(Loop, Descriptor, std::move(Hooks)));
  Stream->Self = Stream;
  Stream->Connected = true;
  if (!Stream->start(EPOLLIN).ok())
    Stream->close();
  return Stream;
}

absl::StatusOr<std::shared_ptr<tcp_stream>>
tcp_stream::connect(event_loop &Loop, const sockaddr_in &Address,
                    stream_hooks Hooks) {
  const int Descriptor =
      socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (Descriptor < 0)
    return absl::ErrnoToStatus(errno, "socket");
  std::shared_ptr<tcp_stream> Stream(
      new tcp_stream(Loop, Descriptor, std::move(Hooks)));
  Stream->Self = Stream;
  setOption(Descriptor, IPPROTO_TCP, TCP_NODELAY, 1);
  if (::connect(Descriptor, reinterpret_cast<const sockaddr *>(&Address),
                sizeof(Address)) != 0 &&
      errno != EINPROGRESS) {
    const int Error = errno;
    Stream->close();
    return absl::ErrnoToStatus(Error, "connect");
  }
  const absl::Status Started = Stream->start(EPOLLOUT);
  if (!Started.ok()) {
    Stream->close();
    return Started;
  }
  return Stream;
}

tcp_stream::~tcp_stream() { close(); }

absl::Status tcp_stream::start(uint32_t Wanted) {
  Events = Wanted;
  return Loop.watch(Descriptor, Wanted, [Weak = Self](uint32_t Ready) {
    if (const auto Stream = Weak.lock())
      Stream->onReady(Ready);
  });
}

void tcp_stream::close() {
  if (Descriptor < 0)
    return;
  Loop.unwatch(Descriptor);
  if (RoomTimer)
    Loop.cancel(*RoomTimer);
  ::close(Descriptor);
  Descriptor = -1;
}

void tcp_stream::closeWithReset() {
  if (!isOpen())
    return;
  const linger Reset{1, 0};
  setsockopt(Descriptor, SOL_SOCKET, SO_LINGER, &Reset, sizeof(Reset));
  close();
}

void tcp_stream::onReady(uint32_t Ready) {
  if (!Connected) {
    onConnectResult();
    return;
  }
  const bool Broken = (Ready & (EPOLLHUP | EPOLLERR)) != 0;
  // While reading is paused, a hang-up would be reported in every round.
  if (Paused && Broken)
    end(stream_end::Broken);
  else if (Broken || (Ready & EPOLLIN) != 0)
    readAvailable();
  if (isOpen() && (Ready & EPOLLOUT) != 0)
    flush();
}

void tcp_stream::onConnectResult() {
  int Error = 0;
  socklen_t Size = sizeof(Error);
  getsockopt(Descriptor, SOL_SOCKET, SO_ERROR, &Error, &Size);
  if (Error != 0) {
    end(stream_end::Broken);
    return;
  }
  Connected = true;
  updateEvents();
  if (Hooks.OnConnected)
    Hooks.OnConnected();
  if (isOpen())
    flush();
}

void tcp_stream::readAvailable() {
  if (EndReported) {
    // epoll reports a hang-up in every round, even if no events are requested,
    // until the descriptor is no longer watched.
    Loop.unwatch(Descriptor);
    return;
  }
  std::array<char, ReadBufferBytes> Buffer; // NOLINT: filled by recv
  for (int Index = 0; Index < MaxReadsPerRound && isOpen() && !Paused;
       ++Index) {
    const ssize_t Count = recv(Descriptor, Buffer.data(), Buffer.size(), 0);
    if (Count > 0) {
      if (Hooks.OnBytes)
        Hooks.OnBytes({Buffer.data(), static_cast<size_t>(Count)});
      if (static_cast<size_t>(Count) < Buffer.size())
        return;
      continue;
    }
    if (Count < 0 && (errno == EAGAIN || errno == EINTR))
      return;
    end(Count == 0 ? stream_end::Finished : stream_end::Broken);
    return;
  }
}

void tcp_stream::end(stream_end End) {
  if (EndReported)
    return;
  EndReported = true;
  updateEvents();
  if (End == stream_end::Broken)
    Loop.unwatch(Descriptor);
  if (Hooks.OnEnd)
    Hooks.OnEnd(End);
}

size_t tcp_stream::sendNow(std::string_view Bytes) {
  if (!Connected || unsent() > 0)
    return 0;
  const ssize_t Count =
      send(Descriptor, Bytes.data(), Bytes.size(), MSG_NOSIGNAL);
  // An error is ignored here: the event loop reports it for the descriptor.
  return Count > 0 ? static_cast<size_t>(Count) : 0;
}

void tcp_stream::write(std::string_view Bytes) {
  if (!isOpen() || Finishing)
    return;
  if (Bytes.size() > SmallWriteBytes)
    watchRoom();
  Bytes.remove_prefix(sendNow(Bytes));
  if (Bytes.empty())
    return;
  Unsent.append(Bytes);
  updateEvents();
}

void tcp_stream::writeLarge(std::string Bytes) {
  if (!isOpen() || Finishing || unsent() > 0) {
    write(Bytes);
    return;
  }
  if (Bytes.size() > SmallWriteBytes)
    watchRoom();
  const size_t Sent = sendNow(Bytes);
  if (Sent == Bytes.size())
    return;
  Unsent = std::move(Bytes);
  SentOfUnsent = Sent;
  updateEvents();
}

void tcp_stream::finishWriting() {
  Finishing = true;
  if (isOpen() && unsent() == 0)
    shutdown(Descriptor, SHUT_WR);
}

void tcp_stream::flush() {
  while (unsent() > 0) {
    const ssize_t Count =
        send(Descriptor, Unsent.data() + SentOfUnsent, unsent(), MSG_NOSIGNAL);
    if (Count < 0) {
      if (errno != EAGAIN && errno != EINTR)
        end(stream_end::Broken);
      return;
    }
    SentOfUnsent += static_cast<size_t>(Count);
  }
  const bool HadBytes = !Unsent.empty();
  // A buffer that was large once does not stay so.
  if (Unsent.capacity() > MaxKeptBytes)
    Unsent = std::string();
  Unsent.clear();
  SentOfUnsent = 0;
  updateEvents();
  if (Finishing)
    shutdown(Descriptor, SHUT_WR);
  if (HadBytes && Hooks.OnDrained)
    Hooks.OnDrained();
}

void tcp_stream::updateEvents() {
  if (!isOpen() || !Connected)
    return;
  uint32_t Wanted = 0;
  if (!Paused && !EndReported)
    Wanted |= EPOLLIN;
  if (unsent() > 0)
    Wanted |= EPOLLOUT;
  if (Wanted == Events)
    return;
  Events = Wanted;
  Loop.changeEvents(Descriptor, Wanted);
}

void tcp_stream::pauseReading(bool Pause) {
  Paused = Pause;
  updateEvents();
}

bool tcp_stream::hasPendingInput() const {
  if (!isOpen() || EndReported)
    return true;
  char Byte = 0;
  const ssize_t Count = recv(Descriptor, &Byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return Count >= 0 || (errno != EAGAIN && errno != EINTR);
}

void tcp_stream::limitUnacknowledged(bool Limit) {
  if (Limit == IsLimited)
    return;
  IsLimited = Limit;
  const auto Time = std::chrono::duration_cast<std::chrono::milliseconds>(
      Limit ? Limits.Unacknowledged : duration::zero());
  setOption(Descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT,
            static_cast<int>(Time.count()));
}

void tcp_stream::watchRoom() {
  if (RoomTimer || !Limits.MayLackRoom)
    return;
  RoomTimer = Loop.callAfter(Limits.Unacknowledged / RoomChecks, [Weak = Self] {
    if (const auto Stream = Weak.lock())
      Stream->checkRoom();
  });
}

/// The system's limit also holds while the peer has no room, though it
/// acknowledges each question whether it has some.
void tcp_stream::checkRoom() {
  RoomTimer.reset();
  if (!isOpen() || EndReported)
    return;
  const auto Held = heldBytesOf(Descriptor);
  const bool HasNoRoom = Held && Held->InFlight == 0 && Held->NotSent > 0;
  limitUnacknowledged(!HasNoRoom);
  if (unsent() > 0 || (Held && Held->InFlight + Held->NotSent > 0))
    watchRoom();
}

void tcp_stream::setKeepaliveLimits(const keepalive_limits &GivenLimits) {
  if (!isOpen())
    return;
  Limits = GivenLimits;
  if (Limits.Unacknowledged > duration::zero())
    limitUnacknowledged(true);
  if (Limits.ProbeAfter.count() == 0)
    return;
  constexpr int ProbeCount = 3;
  constexpr int ProbeIntervalSeconds = 1;
  setOption(Descriptor, SOL_SOCKET, SO_KEEPALIVE, 1);
  setOption(Descriptor, IPPROTO_TCP, TCP_KEEPIDLE,
            static_cast<int>(Limits.ProbeAfter.count()));
  setOption(Descriptor, IPPROTO_TCP, TCP_KEEPINTVL, ProbeIntervalSeconds);
  setOption(Descriptor, IPPROTO_TCP, TCP_KEEPCNT, ProbeCount);
}

} // namespace magnolia::event
