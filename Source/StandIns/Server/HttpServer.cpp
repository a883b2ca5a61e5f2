#include "StandIns/Server/HttpServer.h"

#include <algorithm>
#include <array>
#include <cstring>
#include <memory>
#include <sys/socket.h>

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

#include "Net/Base/WorkerPool.h"

namespace magnolia::stand_ins {
namespace {

using common::boot_clock;

constexpr int ListenBacklog = 1024;
constexpr size_t ConnectionLimit = 4096;
constexpr size_t RequestsPerConnection = 1'000'000;
constexpr size_t BufferSize = size_t{16} * 1024;
constexpr std::chrono::milliseconds StopCheckPeriod{200};
constexpr std::chrono::seconds TransferTimeout{60};

thread_local served_connection *Current = nullptr;

/// Gives each connection a thread of a pool that grows.
class growing_queue : public httplib::TaskQueue {
public:
  growing_queue()
      : Pool(std::make_unique<net::worker_pool>(
            net::worker_pool::settings{.ThreadLimit = ConnectionLimit})) {}

  void enqueue(std::function<void()> Work) override {
    // Past the limit the connection waits in no queue: its work is dropped,
    // and with it the socket stays open until the caller gives up.
    Pool->tryRun(std::move(Work));
  }

  void shutdown() override { Pool.reset(); }

private:
  std::unique_ptr<net::worker_pool> Pool;
};

class server_stream : public httplib::Stream {
public:
  explicit server_stream(served_connection &Served) : Served(Served) {}

  bool is_readable() const override { return true; }
  bool is_writable() const override { return !Served.Abandoned; }

  ssize_t read(char *Bytes, size_t Size) override {
    if (Begin == End) {
      const ssize_t Count =
          Served.Connection.read({Buffer.data(), Buffer.size()});
      if (Count <= 0)
        return Count;
      Begin = 0;
      End = static_cast<size_t>(Count);
    }
    const size_t Count = std::min(Size, End - Begin);
    std::memcpy(Bytes, Buffer.data() + Begin, Count);
    Begin += Count;
    return static_cast<ssize_t>(Count);
  }

  ssize_t write(const char *Bytes, size_t Size) override {
    return Served.Abandoned ? -1 : Served.Connection.write({Bytes, Size});
  }

  void get_remote_ip_and_port(std::string &, int &) const override {}
  void get_local_ip_and_port(std::string &, int &) const override {}
  socket_t socket() const override { return Served.Connection.descriptor(); }

  bool hasBuffered() const { return Begin != End; }

private:
  served_connection &Served;
  std::array<char, BufferSize> Buffer;
  size_t Begin = 0;
  size_t End = 0;
};

} // namespace

http_server::http_server() {
  new_task_queue = [] { return new growing_queue; };
  set_tcp_nodelay(true);
  set_keep_alive_max_count(RequestsPerConnection);
  // The default would let two processes share one port.
  set_socket_options([this](socket_t Socket) {
    const int On = 1;
    ::setsockopt(Socket, SOL_SOCKET, SO_REUSEADDR, &On, sizeof(On));
    ListenDescriptor = Socket;
  });
}

http_server::~http_server() { finish(); }

absl::StatusOr<int> http_server::start(const std::string &Address) {
  const size_t Colon = Address.rfind(':');
  const std::string Host = Address.substr(0, Colon);
  int Port = 0;
  if (Colon == std::string::npos ||
      !absl::SimpleAtoi(Address.substr(Colon + 1), &Port))
    return absl::InvalidArgumentError("no address: " + Address);
  if (Port == 0)
    Port = bind_to_any_port(Host);
  else if (!bind_to_port(Host, Port))
    Port = -1;
  if (Port <= 0)
    return absl::UnavailableError("cannot listen on " + Address);
  // cpp-httplib listens with a backlog of five.
  ::listen(ListenDescriptor, ListenBacklog);
  Thread = std::thread([this] { listen_after_bind(); });
  return Port;
}

void http_server::finish() {
  if (!Thread.joinable())
    return;
  Stopping = true;
  while (!is_running())
    std::this_thread::yield();
  stop();
  Thread.join();
}

served_connection &http_server::current() { return *Current; }

bool http_server::awaitRequest(const net::connection &Connection) const {
  while (!Stopping.load())
    if (Connection.awaitReadable(boot_clock::now() + StopCheckPeriod))
      return true;
  return false;
}

bool http_server::process_and_close_socket(socket_t Socket) {
  net::connection Connection(Socket);
  served_connection Served{Connection};
  server_stream Stream(Served);
  Current = &Served;
  while (Stream.hasBuffered() || awaitRequest(Connection)) {
    Connection.setDeadline(boot_clock::now() + TransferTimeout);
    bool Closed = false;
    if (!process_request(Stream, Stopping.load(), Closed, nullptr) || Closed ||
        Served.Abandoned)
      break;
  }
  Current = nullptr;
  return true;
}

} // namespace magnolia::stand_ins
