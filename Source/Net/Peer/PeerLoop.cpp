#include "Net/Peer/PeerLoop.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <span>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>
#include <vector>

namespace magnolia::net {
namespace {

using std::chrono::milliseconds;

constexpr uint64_t ListenerId = 0;
constexpr uint64_t WakeId = 1;
constexpr uint64_t FirstConnectionId = 2;

constexpr size_t ReadBufferBytes = size_t{64} * 1024;
constexpr size_t OutputBufferBytes = size_t{64} * 1024;
constexpr size_t EventsPerWait = 64;
constexpr milliseconds MaxWait{1000};
constexpr uint32_t MaxBackoffDoublings = 16;

// The connecting side sends pings and closes the connection after one timeout.
// The accepting side sends none and therefore waits longer.
constexpr int IncomingTimeoutFactor = 2;

absl::Status addToEpoll(const unique_fd &Epoll, const unique_fd &Socket,
                        uint64_t Id) {
  epoll_event Event{};
  Event.events = EPOLLIN;
  Event.data.u64 = Id;
  if (epoll_ctl(Epoll.get(), EPOLL_CTL_ADD, Socket.get(), &Event) != 0)
    return absl::UnavailableError("epoll_ctl failed");
  return absl::OkStatus();
}

} // namespace

absl::StatusOr<std::unique_ptr<peer_loop>>
peer_loop::create(unique_fd Listener, std::string InstanceName,
                  peer_transport::message_hook OnMessage,
                  const peer_options &Options, peer_table &Table) {
  unique_fd Epoll(epoll_create1(EPOLL_CLOEXEC));
  unique_fd WakeEvent(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC));
  if (!Epoll.valid() || !WakeEvent.valid())
    return absl::UnavailableError(
        "cannot create an epoll or eventfd descriptor");
  absl::Status Status = addToEpoll(Epoll, Listener, ListenerId);
  Status.Update(addToEpoll(Epoll, WakeEvent, WakeId));
  if (!Status.ok())
    return Status;
  std::unique_ptr<peer_loop> Loop(new peer_loop(
      std::move(Listener), std::move(Epoll), std::move(WakeEvent),
      std::move(InstanceName), std::move(OnMessage), Options, Table));
  Loop->Thread = std::thread([Raw = Loop.get()] { Raw->run(); });
  return Loop;
}

peer_loop::peer_loop(unique_fd Listener, unique_fd Epoll, unique_fd WakeEvent,
                     std::string InstanceName,
                     peer_transport::message_hook OnMessage,
                     const peer_options &Options, peer_table &Table)
    : Listener(std::move(Listener)), Epoll(std::move(Epoll)),
      WakeEvent(std::move(WakeEvent)), InstanceName(std::move(InstanceName)),
      OnMessage(std::move(OnMessage)), Options(Options), Table(Table),
      Now(common::boot_clock::now()), NextId(FirstConnectionId) {}

peer_loop::~peer_loop() {
  Stopping = true;
  wake();
  if (Thread.joinable())
    Thread.join();
}

void peer_loop::wake() {
  const uint64_t One = 1;
  // Fails only if the event is already set.
  [[maybe_unused]] const ssize_t Written =
      write(WakeEvent.get(), &One, sizeof(One));
}

void peer_loop::addTo(peer_counters &Counters) const {
  Counters.Received += Received;
  Counters.Rejected += Rejected;
  Counters.BytesSent += BytesSent;
  Counters.Wakeups += Wakeups;
  Counters.BytesReceived += BytesReceived;
}

void peer_loop::run() {
  const auto LivenessCheckPeriod = Options.PingInterval / 2;
  Timers.subscribeEvery(Now + LivenessCheckPeriod, LivenessCheckPeriod,
                        [this](common::boot_time) { checkLiveness(); });
  std::array<epoll_event, EventsPerWait> Events{};
  while (!Stopping) {
    const auto Due = Timers.nextDue().value_or(Now + MaxWait);
    const auto Wait = std::chrono::ceil<milliseconds>(
        std::clamp<common::boot_clock::duration>(
            Due - common::boot_clock::now(), milliseconds(0), MaxWait));
    const int Count = epoll_wait(Epoll.get(), Events.data(), EventsPerWait,
                                 static_cast<int>(Wait.count()));
    ++Wakeups;
    Now = common::boot_clock::now();
    const auto Ready = static_cast<size_t>(std::max(Count, 0));
    for (const epoll_event &Event : std::span(Events).first(Ready))
      dispatch(Event.data.u64, Event.events);
    Timers.advance(Now);
  }
}

void peer_loop::dispatch(uint64_t Id, uint32_t Events) {
  if (Id == ListenerId)
    return acceptAll();
  if (Id == WakeId)
    return drainWakeEvent();
  const auto Found = Connections.find(Id);
  if (Found == Connections.end())
    return;
  connection &Connection = *Found->second;
  if (Connection.Connecting)
    return finishConnect(Connection);
  const bool Readable = (Events & (EPOLLIN | EPOLLHUP | EPOLLERR)) != 0;
  if (Readable && !readSome(Connection))
    return closeConnection(Id);
  pump(Connection);
}

void peer_loop::drainWakeEvent() {
  uint64_t Count = 0;
  [[maybe_unused]] const ssize_t Read =
      read(WakeEvent.get(), &Count, sizeof(Count));
  updateChangedLinks();
}

void peer_loop::acceptAll() {
  for (size_t Count = 0; Count < EventsPerWait; ++Count) {
    unique_fd Socket = acceptTcp(Listener);
    if (!Socket.valid())
      return;
    if (IncomingCount >= Options.MaxIncomingConnections) {
      ++Rejected;
      continue;
    }
    addIncoming(std::move(Socket));
  }
}

void peer_loop::addIncoming(unique_fd Socket) {
  session_hooks Hooks;
  Hooks.OnMessage = [this](peer_message Message) {
    ++Received;
    OnMessage(std::move(Message));
  };
  Hooks.OnRejected = [this] { ++Rejected; };
  auto Connection = std::make_unique<connection>();
  Connection->Session = peer_session::makeServer(Options, std::move(Hooks));
  if (!Connection->Session)
    return;
  Connection->Id = NextId++;
  Connection->Socket = std::move(Socket);
  Connection->LastReceived = Now;
  connection &Added = *Connection;
  Connections[Added.Id] = std::move(Connection);
  ++IncomingCount;
  watch(Added, EPOLL_CTL_ADD);
  pump(Added);
}

void peer_loop::updateChangedLinks() {
  for (const std::string &Peer : Table.takeChanged()) {
    if (!Table.contains(Peer)) {
      dropLink(Peer);
      continue;
    }
    const link &Link = Links[Peer];
    if (Link.ConnectionId != 0) {
      connection &Connection = *Connections.at(Link.ConnectionId);
      // The peer may have been removed and added again in the meantime.
      Table.setConnected(Peer, !Connection.Connecting);
      pump(Connection);
    } else if (Link.Retry == 0) {
      connectLink(Peer);
    }
  }
}

void peer_loop::connectLink(const std::string &Peer) {
  link &Link = Links[Peer];
  Link.Retry = 0;
  auto Socket = startConnect(Peer);
  session_hooks Hooks;
  Hooks.OnCompleted = [this, Peer](bool Delivered) {
    Table.settle(Peer, Delivered);
    // Only an acknowledged message resets the back-off.
    if (Delivered)
      Links[Peer].Failures = 0;
  };
  auto Session = peer_session::makeClient(Options, std::move(Hooks));
  if (!Socket.ok() || !Session) {
    Table.countReconnect(Peer);
    scheduleRetry(Peer, Link);
    return;
  }
  auto Connection = std::make_unique<connection>();
  Connection->Id = NextId++;
  Connection->Socket = *std::move(Socket);
  Connection->Session = std::move(Session);
  Connection->Peer = Peer;
  Connection->LastReceived = Now;
  Connection->Connecting = true;
  Link.ConnectionId = Connection->Id;
  connection &Added = *Connection;
  Connections[Added.Id] = std::move(Connection);
  watch(Added, EPOLL_CTL_ADD);
}

void peer_loop::scheduleRetry(const std::string &Peer, link &Link) {
  const uint32_t Doublings = std::min(Link.Failures++, MaxBackoffDoublings);
  const milliseconds FullDelay = std::min<milliseconds>(
      Options.FirstBackoff * (int64_t{1} << Doublings), Options.MaxBackoff);
  std::uniform_real_distribution<double> Jitter(0.5, 1.0);
  const auto Delay = std::chrono::duration_cast<common::boot_clock::duration>(
      FullDelay * Jitter(Random));
  Link.Retry = Timers.subscribeOnce(
      Now + Delay, [this, Peer](common::boot_time) { connectLink(Peer); });
}

void peer_loop::dropLink(const std::string &Peer) {
  const auto Found = Links.find(Peer);
  if (Found == Links.end())
    return;
  const link Link = Found->second;
  Links.erase(Found);
  Timers.cancel(Link.Retry);
  if (Link.ConnectionId != 0)
    closeConnection(Link.ConnectionId);
}

void peer_loop::finishConnect(connection &Connection) {
  if (takeSocketError(Connection.Socket) != 0)
    return closeConnection(Connection.Id);
  Connection.Connecting = false;
  // Stops watching for writability, which would wake the loop continuously.
  watch(Connection, EPOLL_CTL_MOD);
  Connection.LastReceived = Now;
  Table.setConnected(Connection.Peer, true);
  pump(Connection);
}

/// Starts queued messages up to the limit of open streams and writes as much as
/// the socket accepts.
void peer_loop::pump(connection &Connection) {
  if (Connection.Connecting)
    return;
  const auto MayStart = [&] {
    return !Connection.Peer.empty() &&
           Connection.Session->openStreams() < Options.MaxStreams;
  };
  while (MayStart()) {
    auto Message = Table.pop(Connection.Peer, Now);
    if (!Message)
      break;
    if (!Connection.Session->submit(InstanceName, Message->Type,
                                    std::move(Message->Body), Now))
      Table.settle(Connection.Peer, false);
  }
  if (!writeAll(Connection) || Connection.Session->finished())
    closeConnection(Connection.Id);
}

bool peer_loop::readSome(connection &Connection) {
  std::array<char, ReadBufferBytes> Buffer;
  const ssize_t Count =
      recv(Connection.Socket.get(), Buffer.data(), Buffer.size(), 0);
  if (Count < 0)
    return errno == EAGAIN || errno == EINTR;
  if (Count == 0)
    return false;
  BytesReceived += static_cast<uint64_t>(Count);
  if (!Connection.Session->receive(
          {Buffer.data(), static_cast<size_t>(Count)})) {
    ++Rejected;
    return false;
  }
  Connection.LastReceived = Now;
  if (!Connection.Peer.empty())
    Table.recordReceived(Connection.Peer, Now);
  return true;
}

bool peer_loop::writeAll(connection &Connection) {
  while (writeBuffered(Connection)) {
    if (!Connection.Output.empty())
      break; // The send buffer of the socket is full.
    if (!Connection.Session->fill(Connection.Output, OutputBufferBytes))
      return false;
    if (Connection.Output.empty())
      break;
  }
  const bool SocketFull = !Connection.Output.empty();
  if (SocketFull != Connection.AwaitsWritable) {
    Connection.AwaitsWritable = SocketFull;
    watch(Connection, EPOLL_CTL_MOD);
  }
  return Connection.Socket.valid();
}

/// Writes as much of the output buffer as the socket accepts. On an error,
/// closes the socket and returns false.
bool peer_loop::writeBuffered(connection &Connection) {
  while (Connection.OutputWritten < Connection.Output.size()) {
    const ssize_t Count = ::send(
        Connection.Socket.get(),
        Connection.Output.data() + Connection.OutputWritten,
        Connection.Output.size() - Connection.OutputWritten, MSG_NOSIGNAL);
    if (Count < 0 && errno == EINTR)
      continue;
    if (Count < 0 && errno == EAGAIN)
      return true;
    if (Count < 0) {
      Connection.Socket.reset();
      return false;
    }
    Connection.OutputWritten += static_cast<size_t>(Count);
    BytesSent += static_cast<uint64_t>(Count);
  }
  Connection.Output.clear();
  Connection.OutputWritten = 0;
  return true;
}

void peer_loop::watch(connection &Connection, int Operation) {
  epoll_event Event{};
  const bool WantsWritable = Connection.Connecting || Connection.AwaitsWritable;
  Event.events = EPOLLIN;
  if (WantsWritable)
    Event.events |= EPOLLOUT;
  Event.data.u64 = Connection.Id;
  epoll_ctl(Epoll.get(), Operation, Connection.Socket.get(), &Event);
}

void peer_loop::closeConnection(uint64_t Id) {
  const auto Found = Connections.find(Id);
  if (Found == Connections.end())
    return;
  const std::unique_ptr<connection> Closed = std::move(Found->second);
  Connections.erase(Found);
  if (Closed->Peer.empty()) {
    --IncomingCount;
    return;
  }
  for (size_t Left = Closed->Session->openStreams(); Left > 0; --Left)
    Table.settle(Closed->Peer, false);
  const auto Link = Links.find(Closed->Peer);
  if (Link == Links.end())
    return;
  Table.setConnected(Closed->Peer, false);
  Table.countReconnect(Closed->Peer);
  Link->second.ConnectionId = 0;
  scheduleRetry(Closed->Peer, Link->second);
}

/// Expires old messages and idle peers, closes connections that timed out and
/// pings those on which nothing was received for the ping interval.
void peer_loop::checkLiveness() {
  Table.expire(Now);
  std::vector<uint64_t> TimedOut;
  std::vector<uint64_t> NeedPing;
  for (const auto &[Id, Connection] : Connections) {
    if (isTimedOut(*Connection))
      TimedOut.push_back(Id);
    else if (needsPing(*Connection))
      NeedPing.push_back(Id);
  }
  for (const uint64_t Id : TimedOut)
    closeConnection(Id);
  for (const uint64_t Id : NeedPing) {
    connection &Connection = *Connections.at(Id);
    Connection.LastPing = Now;
    Connection.Session->ping();
    pump(Connection);
  }
  updateChangedLinks();
}

bool peer_loop::isTimedOut(const connection &Connection) const {
  const auto SinceReceived = Now - Connection.LastReceived;
  if (Connection.Peer.empty())
    return SinceReceived > Options.PingTimeout * IncomingTimeoutFactor;
  if (Connection.Connecting)
    return SinceReceived > Options.ConnectTimeout;
  // A peer may reply to pings without acknowledging messages.
  const auto Oldest = Connection.Session->oldestStart();
  if (Oldest && Now - *Oldest > Options.MessageLifetime)
    return true;
  return SinceReceived > Options.PingTimeout;
}

bool peer_loop::needsPing(const connection &Connection) const {
  const bool IsOutgoing = !Connection.Peer.empty();
  return IsOutgoing && !Connection.Connecting &&
         Now - Connection.LastReceived >= Options.PingInterval &&
         Now - Connection.LastPing >= Options.PingInterval;
}

} // namespace magnolia::net
