#include "StandIns/Platform/PlatformServer.h"

#include <sys/socket.h>
#include <thread>

#include <absl/strings/str_cat.h>
#include <httplib.h>

#include "Common/YamlReader.h"
#include "Net/Platform/WireCodec.h"

namespace magnolia::standins {
namespace {

using httplib::Request;
using httplib::Response;

constexpr char JsonType[] = "application/json";
constexpr char BytesType[] = "application/octet-stream";
constexpr char FaultsPath[] = "/admin/faults";
constexpr char AdminInstancesPath[] = "/admin/instances";
constexpr char ReleasePath[] = "/admin/release";
constexpr char ObjectPattern[] = "/objects/([0-9a-f]{64})";

/// A connection holds a thread.
constexpr size_t MaxConnections = 256;
constexpr int ListenBacklog = 1024;
constexpr size_t MaxRequestsPerConnection = 1'000'000'000;
constexpr time_t IdleSeconds = 300;

int httpStatus(const absl::Status &Status) {
  switch (Status.code()) {
  case absl::StatusCode::kOk:
    return 200;
  case absl::StatusCode::kInvalidArgument:
    return 400;
  case absl::StatusCode::kNotFound:
    return 404;
  case absl::StatusCode::kAborted:
    return 409;
  case absl::StatusCode::kUnavailable:
    return 503;
  default:
    return 500;
  }
}

/// Sends a head that promises a byte and closes without it: the caller cannot
/// know the outcome.
void loseReply(Response &Answer) {
  Answer.set_content_provider(
      1, JsonType, [](size_t, size_t, httplib::DataSink &) { return false; });
}

void answer(Response &Answer, const absl::Status &Status) {
  if (absl::IsUnknown(Status)) {
    loseReply(Answer);
    return;
  }
  Answer.status = httpStatus(Status);
  Answer.set_content(Status.ok() ? "{}" : std::string(Status.message()),
                     Status.ok() ? JsonType : "text/plain");
}

void answer(Response &Answer, const absl::StatusOr<std::string> &Body,
            const char *Type = JsonType) {
  if (!Body.ok())
    answer(Answer, Body.status());
  else
    Answer.set_content(*Body, Type);
}

} // namespace

class platform_server::impl {
public:
  explicit impl(platform::memory_platform &Platform)
      : Platform(Platform), Services(Platform.bind()) {
    configure();
    routeTable();
    routeObjects();
    routeAdmin();
  }

  ~impl() {
    Server.stop();
    if (Thread.joinable())
      Thread.join();
  }

  absl::Status start(const std::string &Address) {
    const size_t Colon = Address.rfind(':');
    const std::string Host = Address.substr(0, Colon);
    const int Wanted = std::stoi(Address.substr(Colon + 1));
    if (Wanted == 0)
      Port = Server.bind_to_any_port(Host);
    else if (Server.bind_to_port(Host, Wanted))
      Port = Wanted;
    if (Port <= 0 || ::listen(Descriptor, ListenBacklog) != 0)
      return absl::UnavailableError(absl::StrCat("cannot bind ", Address));
    Thread = std::thread([this] { Server.listen_after_bind(); });
    return absl::OkStatus();
  }

  uint16_t port() const { return static_cast<uint16_t>(Port); }

private:
  void configure() {
    // The library's own options would let a second process share the port.
    Server.set_socket_options([this](socket_t Socket) {
      Descriptor = Socket;
      const int Yes = 1;
      ::setsockopt(Socket, SOL_SOCKET, SO_REUSEADDR, &Yes, sizeof(Yes));
    });
    Server.new_task_queue = [] {
      return new httplib::ThreadPool(MaxConnections);
    };
    Server.set_tcp_nodelay(true);
    Server.set_keep_alive_max_count(MaxRequestsPerConnection);
    Server.set_keep_alive_timeout(IdleSeconds);
  }

  void routeTable() {
    Server.Get(net::TableRowPath, [this](const Request &Call, Response &Reply) {
      const auto Row = Services.Table.Get(Call.get_param_value("key"));
      answer(Reply, Row.ok() ? net::encodeRow(*Row) : Row.status());
    });
    Server.Get(
        net::TableRowsPath, [this](const Request &Call, Response &Reply) {
          const auto Rows = Services.Table.Scan(Call.get_param_value("prefix"));
          answer(Reply, Rows.ok() ? net::encodeRows(*Rows) : Rows.status());
        });
    Server.Post(
        net::TableCommitPath, [this](const Request &Call, Response &Reply) {
          const auto Commit = net::decodeCommit(Call.body);
          answer(Reply, Commit.ok() ? Services.Table.Commit(Commit->Conditions,
                                                            Commit->Writes)
                                    : Commit.status());
        });
  }

  void routeObjects() {
    Server.Put(ObjectPattern, [this](const Request &Call, Response &Reply) {
      answer(Reply, Services.Objects.Put(Call.matches[1].str(), Call.body));
    });
    Server.Get(ObjectPattern, [this](const Request &Call, Response &Reply) {
      answer(Reply, Services.Objects.Get(Call.matches[1].str()), BytesType);
    });
    Server.Get(net::InstancesPath, [this](const Request &, Response &Reply) {
      const auto List = Services.Instances.Read();
      answer(Reply, List.ok() ? net::encodeInstances(*List) : List.status());
    });
  }

  void routeAdmin() {
    Server.Get(FaultsPath, [this](const Request &, Response &Reply) {
      Reply.set_content(net::encodeFaults(Platform.faults()), JsonType);
    });
    Server.Post(FaultsPath, [this](const Request &Call, Response &Reply) {
      const auto Faults = net::decodeFaults(Call.body, Platform.faults());
      if (Faults.ok())
        Platform.setFaults(*Faults);
      answer(Reply, Faults.status());
    });
    Server.Post(AdminInstancesPath,
                [this](const Request &Call, Response &Reply) {
                  auto Instances = net::decodeInstances(Call.body);
                  const absl::Status Status = Instances.status();
                  if (Instances.ok())
                    Platform.setInstances(*std::move(Instances));
                  answer(Reply, Status);
                });
    Server.Post(ReleasePath, [this](const Request &, Response &Reply) {
      Platform.releaseHeldCommits();
      answer(Reply, absl::OkStatus());
    });
  }

  platform::memory_platform &Platform;
  const platform::services Services;
  httplib::Server Server;
  socket_t Descriptor = INVALID_SOCKET;
  int Port = -1;
  std::thread Thread;
};

absl::StatusOr<std::unique_ptr<platform_server>>
platform_server::create(const std::string &Address,
                        platform::memory_platform &Platform) {
  if (!common::isAddress(Address))
    return absl::InvalidArgumentError(
        absl::StrCat("'", Address, "' is not an IPv4:port address"));
  auto Impl = std::make_unique<impl>(Platform);
  if (absl::Status Status = Impl->start(Address); !Status.ok())
    return Status;
  return std::unique_ptr<platform_server>(new platform_server(std::move(Impl)));
}

platform_server::platform_server(std::unique_ptr<impl> Impl)
    : Impl(std::move(Impl)) {}

platform_server::~platform_server() = default;

uint16_t platform_server::port() const { return Impl->port(); }

} // namespace magnolia::standins
