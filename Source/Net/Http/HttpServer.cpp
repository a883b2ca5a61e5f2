#include "Net/Http/HttpServer.h"

#include <array>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

#include <absl/container/flat_hash_map.h>
#include <absl/synchronization/mutex.h>

#include "Common/ErrorKind.h"
#include "Common/Time.h"
#include "Net/Base/WorkerPool.h"
#include "Net/Http/Connection.h"
#include "Net/Http/HeadInspector.h"
#include "Net/Http/LibraryServer.h"

namespace magnolia::http {
namespace {

using common::boot_clock;
using common::boot_time;
using std::chrono::milliseconds;

constexpr milliseconds SweepPeriod{250};
constexpr milliseconds FinishPoll{5};
constexpr size_t EventsPerWait = 128;

constexpr uint32_t IdleEvents = EPOLLIN | EPOLLRDHUP | EPOLLONESHOT;
constexpr uint32_t BusyEvents = EPOLLRDHUP | EPOLLONESHOT;
constexpr uint32_t DisconnectEvents = EPOLLRDHUP | EPOLLHUP | EPOLLERR;

} // namespace

/// The event loop. A connection is either idle, and the loop receives its
/// events, or busy, and a worker thread owns it; `connection::Busy` decides
/// which.
class http_server::impl {
public:
  impl(http_server_options GivenOptions, descriptor Socket, handler Handler,
       refusal_builder RefusalBuilder)
      : Options(std::move(GivenOptions)), Listener(std::move(Socket)),
        Poller(epoll_create1(EPOLL_CLOEXEC)),
        Waker(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC)),
        Address(localAddressOf(Listener.get())),
        Library(Options, std::move(Handler), std::move(RefusalBuilder)),
        Workers({.ThreadLimit = Options.MaxThreads}) {
    updateEpoll(Listener.get(), EPOLLIN, EPOLL_CTL_ADD);
    updateEpoll(Waker.get(), EPOLLIN, EPOLL_CTL_ADD);
  }

  ~impl() {
    Stopping = true;
    wake();
    if (LoopThread.joinable())
      LoopThread.join();
    shutdownAll();
  }

  void start() {
    LoopThread = std::thread([this] { run(); });
  }
  const std::string &address() const { return Address; }
  void beginDrain() { Library.beginDrain(); }
  bool finish(milliseconds MinIdle, milliseconds Limit);
  size_t openConnections() const;
  size_t busyConnections() const;

private:
  using connection_ptr = std::shared_ptr<connection>;

  void run();
  void dispatch(const epoll_event &Event);
  void acceptAll();
  void wake() const;
  void updateEpoll(int Socket, uint32_t Events, int Operation) const;
  void sweep(boot_time Now);
  void startServing(const connection_ptr &Connection);
  void serve(const connection_ptr &Connection);
  bool serveBuffered(connection &Connection);
  /// Makes the event loop wait for the rest of a head or the next request.
  void returnToLoop(connection &Connection);
  void remove(const connection_ptr &Connection);
  bool idleFor(milliseconds MinIdle) const;
  void shutdownAll();
  connection_ptr find(int Socket) const;

  const http_server_options Options;
  descriptor Listener;
  descriptor Poller;
  descriptor Waker;
  const std::string Address;
  library_server Library;

  mutable absl::Mutex Mutex;
  absl::flat_hash_map<int, connection_ptr> Connections ABSL_GUARDED_BY(Mutex);

  std::atomic<bool> Stopping{false};
  std::atomic<bool> Accepting{true};
  std::atomic<boot_time> LastServed{boot_clock::now()};
  std::thread LoopThread;
  // Last member, so that its jobs end before the members that they use.
  net::worker_pool Workers;
};

void http_server::impl::wake() const {
  const uint64_t One = 1;
  [[maybe_unused]] const ssize_t Written =
      write(Waker.get(), &One, sizeof(One));
}

void http_server::impl::updateEpoll(int Socket, uint32_t Events,
                                    int Operation) const {
  epoll_event Event{};
  Event.events = Events;
  Event.data.fd = Socket;
  epoll_ctl(Poller.get(), Operation, Socket, &Event);
}

http_server::impl::connection_ptr http_server::impl::find(int Socket) const {
  const absl::MutexLock Lock(&Mutex);
  const auto Found = Connections.find(Socket);
  return Found == Connections.end() ? nullptr : Found->second;
}

void http_server::impl::run() {
  std::array<epoll_event, EventsPerWait> Events{};
  boot_time NextSweep = boot_clock::now() + SweepPeriod;
  while (!Stopping) {
    const int Count =
        epoll_wait(Poller.get(), Events.data(), static_cast<int>(Events.size()),
                   static_cast<int>(SweepPeriod.count()));
    for (int Index = 0; Index < Count; ++Index)
      dispatch(Events.at(static_cast<size_t>(Index)));
    const boot_time Now = boot_clock::now();
    if (Now < NextSweep)
      continue;
    sweep(Now);
    NextSweep = Now + SweepPeriod;
  }
}

void http_server::impl::dispatch(const epoll_event &Event) {
  if (Event.data.fd == Waker.get())
    return;
  if (Event.data.fd == Listener.get()) {
    acceptAll();
    return;
  }
  const connection_ptr Connection = find(Event.data.fd);
  if (!Connection)
    return;
  if (!Connection->Busy.exchange(true)) {
    startServing(Connection);
    return;
  }
  if ((Event.events & DisconnectEvents) != 0)
    Connection->callDisconnectHook();
}

void http_server::impl::acceptAll() {
  while (Accepting) {
    descriptor Socket(accept4(Listener.get(), nullptr, nullptr,
                              SOCK_NONBLOCK | SOCK_CLOEXEC));
    if (!Socket.valid())
      return;
    const int Number = Socket.get();
    const auto Connection = std::make_shared<connection>(std::move(Socket));
    Connection->IdleDeadline = boot_clock::now() + Options.IdleTimeout;
    {
      const absl::MutexLock Lock(&Mutex);
      if (Connections.size() >= Options.MaxConnections)
        continue;
      Connections[Number] = Connection;
    }
    updateEpoll(Number, IdleEvents, EPOLL_CTL_ADD);
  }
}

void http_server::impl::sweep(boot_time Now) {
  std::vector<connection_ptr> Expired;
  {
    const absl::MutexLock Lock(&Mutex);
    for (const auto &[Socket, Connection] : Connections)
      if (Connection->IdleDeadline.load() <= Now &&
          !Connection->Busy.exchange(true))
        Expired.push_back(Connection);
  }
  for (const connection_ptr &Connection : Expired)
    remove(Connection);
}

void http_server::impl::startServing(const connection_ptr &Connection) {
  Workers.run([this, Connection] { serve(Connection); });
}

void http_server::impl::serve(const connection_ptr &Connection) {
  while (!Stopping) {
    switch (Connection->fillHead(Options.MaxHeadBytes)) {
    case connection::fill_result::NeedMore:
      returnToLoop(*Connection);
      return;
    case connection::fill_result::Closed:
      remove(Connection);
      return;
    case connection::fill_result::TooLarge:
      Library.refuseHead(*Connection,
                         common::makeError(common::error_kind::HeadersTooLarge,
                                           "the request head is too large"));
      Connection->shutdownAndLinger();
      remove(Connection);
      return;
    case connection::fill_result::HeadComplete:
      break;
    }
    const bool Keep = serveBuffered(*Connection);
    LastServed = boot_clock::now();
    if (!Keep) {
      Connection->shutdownAndLinger();
      remove(Connection);
      return;
    }
    Connection->HeadStarted = false;
    Connection->IdleDeadline = boot_clock::now() + Options.IdleTimeout;
  }
  remove(Connection);
}

bool http_server::impl::serveBuffered(connection &Connection) {
  const absl::Status Inspected = inspectHead(Connection.head());
  if (!Inspected.ok()) {
    Library.refuseHead(Connection, Inspected);
    return false;
  }
  return Library.serveOne(Connection, [&] {
    updateEpoll(Connection.socket(), BusyEvents, EPOLL_CTL_MOD);
  });
}

void http_server::impl::returnToLoop(connection &Connection) {
  if (Connection.hasBuffered() && !Connection.HeadStarted) {
    Connection.HeadStarted = true;
    Connection.IdleDeadline = boot_clock::now() + Options.HeadTimeout;
  }
  const int Socket = Connection.socket();
  Connection.Busy = false;
  updateEpoll(Socket, IdleEvents, EPOLL_CTL_MOD);
}

void http_server::impl::remove(const connection_ptr &Connection) {
  updateEpoll(Connection->socket(), 0, EPOLL_CTL_DEL);
  const absl::MutexLock Lock(&Mutex);
  const auto Found = Connections.find(Connection->socket());
  if (Found != Connections.end() && Found->second == Connection)
    Connections.erase(Found);
}

size_t http_server::impl::openConnections() const {
  const absl::MutexLock Lock(&Mutex);
  return Connections.size();
}

size_t http_server::impl::busyConnections() const {
  const absl::MutexLock Lock(&Mutex);
  size_t Busy = 0;
  for (const auto &[Socket, Connection] : Connections)
    Busy += Connection->Busy ? 1 : 0;
  return Busy;
}

bool http_server::impl::idleFor(milliseconds MinIdle) const {
  return busyConnections() == 0 &&
         boot_clock::now() - LastServed.load() >= MinIdle;
}

bool http_server::impl::finish(milliseconds MinIdle, milliseconds Limit) {
  beginDrain();
  Accepting = false;
  updateEpoll(Listener.get(), 0, EPOLL_CTL_DEL);
  const boot_time Deadline = boot_clock::now() + Limit;
  while (!idleFor(MinIdle) && boot_clock::now() < Deadline)
    std::this_thread::sleep_for(FinishPoll);
  return busyConnections() == 0;
}

void http_server::impl::shutdownAll() {
  const absl::MutexLock Lock(&Mutex);
  for (const auto &[Socket, Connection] : Connections)
    shutdown(Socket, SHUT_RDWR);
}

http_server::http_server(std::unique_ptr<impl> Implementation)
    : Impl(std::move(Implementation)) {}

http_server::~http_server() = default;

absl::StatusOr<std::unique_ptr<http_server>>
http_server::create(http_server_options Options, handler Handler,
                    refusal_builder RefusalBuilder) {
  auto Listener = listenOn(Options.Address);
  if (!Listener.ok())
    return Listener.status();
  auto Impl =
      std::make_unique<impl>(std::move(Options), std::move(*Listener),
                             std::move(Handler), std::move(RefusalBuilder));
  return std::unique_ptr<http_server>(new http_server(std::move(Impl)));
}

const std::string &http_server::address() const { return Impl->address(); }
void http_server::start() { Impl->start(); }
void http_server::beginDrain() { Impl->beginDrain(); }

bool http_server::finish(milliseconds MinIdle, milliseconds Limit) {
  return Impl->finish(MinIdle, Limit);
}

size_t http_server::openConnections() const { return Impl->openConnections(); }
size_t http_server::busyConnections() const { return Impl->busyConnections(); }

} // namespace magnolia::http
