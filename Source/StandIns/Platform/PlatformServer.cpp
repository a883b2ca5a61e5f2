#include "StandIns/Platform/PlatformServer.h"

#include <absl/strings/str_cat.h>
#include <httplib.h>

#include "Common/YamlReader.h"
#include "Net/Platform/WireCodec.h"
#include "StandIns/Server/HttpServer.h"

namespace magnolia::stand_ins {
namespace {

using httplib::Request;
using httplib::Response;

constexpr char JsonType[] = "application/json";
constexpr char BytesType[] = "application/octet-stream";
constexpr char FaultsPath[] = "/admin/faults";
constexpr char AdminInstancesPath[] = "/admin/instances";
constexpr char ReleasePath[] = "/admin/release";
constexpr char ObjectPattern[] = "/objects/([0-9a-f]{64})";

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

void answer(Response &Answer, const absl::Status &Status) {
  if (absl::IsUnknown(Status)) {
    // The caller's connection is closed without a byte of an answer.
    http_server::current().Abandoned = true;
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
    routeTable();
    routeObjects();
    routeAdmin();
  }

  ~impl() { Server.finish(); }

  absl::Status start(const std::string &Address) {
    const auto Started = Server.start(Address);
    if (!Started.ok())
      return Started.status();
    Port = *Started;
    return absl::OkStatus();
  }

  uint16_t port() const { return static_cast<uint16_t>(Port); }

private:
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
  http_server Server;
  int Port = -1;
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

} // namespace magnolia::stand_ins
