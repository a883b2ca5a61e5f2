#include "Net/Platform/PlatformClient.h"

#include <functional>
#include <memory>
#include <utility>
#include <vector>

#include <absl/base/thread_annotations.h>
#include <absl/strings/str_cat.h>
#include <absl/synchronization/mutex.h>
#include <absl/time/time.h>
#include <httplib.h>

#include "Common/StringView.h"
#include "Common/YamlReader.h"
#include "Net/Platform/WireCodec.h"

namespace magnolia::net {
namespace {

using httplib::Client;
using httplib::Result;
using platform::condition;
using platform::listed_instance;
using platform::row;
using platform::write;

constexpr char JsonType[] = "application/json";
constexpr char BytesType[] = "application/octet-stream";

enum http_status : int {
  Ok = 200,
  NotFound = 404,
  Conflict = 409,
  ServiceUnavailable = 503
};

/// A pool of connections: the idle ones, and the number of those in use.
class client_pool {
public:
  explicit client_pool(platform_client_options Options)
      : Options(std::move(Options)) {}

  using call = std::function<Result(Client &)>;

  /// Runs \p Call on a connection of its own; Unavailable if none becomes free
  /// within the response timeout.
  absl::StatusOr<Result> run(const call &Call) {
    auto Connection = acquire();
    if (!Connection)
      return absl::UnavailableError(
          "all connections to the platform are in use");
    Result Outcome = Call(*Connection);
    release(std::move(Connection));
    return Outcome;
  }

private:
  bool hasCapacity() const ABSL_EXCLUSIVE_LOCKS_REQUIRED(Mutex) {
    return InUse < Options.MaxConnections;
  }

  std::unique_ptr<Client> acquire() {
    const absl::MutexLock Lock(&Mutex);
    const absl::Condition Free(this, &client_pool::hasCapacity);
    if (!Mutex.AwaitWithTimeout(Free,
                                absl::FromChrono(Options.ResponseTimeout)))
      return nullptr;
    ++InUse;
    if (Idle.empty())
      return connect();
    std::unique_ptr<Client> Connection = std::move(Idle.back());
    Idle.pop_back();
    return Connection;
  }

  void release(std::unique_ptr<Client> Connection) {
    const absl::MutexLock Lock(&Mutex);
    --InUse;
    Idle.push_back(std::move(Connection));
  }

  std::unique_ptr<Client> connect() const {
    const size_t Colon = Options.Address.rfind(':');
    auto Connection =
        std::make_unique<Client>(Options.Address.substr(0, Colon),
                                 std::stoi(Options.Address.substr(Colon + 1)));
    Connection->set_connection_timeout(Options.ConnectTimeout);
    Connection->set_read_timeout(Options.ResponseTimeout);
    Connection->set_write_timeout(Options.ResponseTimeout);
    Connection->set_tcp_nodelay(true);
    Connection->set_keep_alive(true);
    return Connection;
  }

  const platform_client_options Options;
  absl::Mutex Mutex;
  size_t InUse ABSL_GUARDED_BY(Mutex) = 0;
  std::vector<std::unique_ptr<Client>> Idle ABSL_GUARDED_BY(Mutex);
};

std::string describe(const Result &Outcome) {
  if (!Outcome)
    return absl::StrCat("no response from the platform: ",
                        httplib::to_string(Outcome.error()));
  return absl::StrCat("the platform responded with ", Outcome->status, ": ",
                      Outcome->body);
}

/// The body of the response to a call that can be repeated: a read, or the put
/// of an object under its digest. Failures but NotFound are thus Unavailable.
absl::StatusOr<std::string>
idempotentOutcome(const absl::StatusOr<Result> &Outcome) {
  if (!Outcome.ok())
    return Outcome.status();
  if (!*Outcome)
    return absl::UnavailableError(describe(*Outcome));
  switch ((*Outcome)->status) {
  case http_status::Ok:
    return (*Outcome)->body;
  case http_status::NotFound:
    return absl::NotFoundError(describe(*Outcome));
  default:
    return absl::UnavailableError(describe(*Outcome));
  }
}

/// Whether the call certainly did not reach the platform.
bool wasNeverSent(const Result &Outcome) {
  return Outcome.error() == httplib::Error::Connection ||
         Outcome.error() == httplib::Error::ConnectionTimeout;
}

/// Aborted if a condition did not hold, Unavailable if the commit certainly had
/// no effect, Unknown if it may have had one.
absl::Status commitOutcome(const absl::StatusOr<Result> &Outcome) {
  if (!Outcome.ok())
    return Outcome.status();
  const std::string Detail = describe(*Outcome);
  if (!*Outcome)
    return wasNeverSent(*Outcome) ? absl::UnavailableError(Detail)
                                  : absl::UnknownError(Detail);
  switch ((*Outcome)->status) {
  case http_status::Ok:
    return absl::OkStatus();
  case http_status::Conflict:
    return absl::AbortedError(Detail);
  case http_status::ServiceUnavailable:
    return absl::UnavailableError(Detail);
  default:
    return absl::UnknownError(Detail);
  }
}

std::string withParameter(const char *Path, const char *Name,
                          std::string_view Value) {
  const httplib::Params Parameters{{Name, std::string(Value)}};
  return httplib::append_query_params(Path, Parameters);
}

std::string objectPath(std::string_view Digest) {
  return absl::StrCat(ObjectsPath, common::toAbsl(Digest));
}

using pool_ptr = std::shared_ptr<client_pool>;

absl::StatusOr<std::string> getBody(client_pool &Pool,
                                    const std::string &Path) {
  return idempotentOutcome(
      Pool.run([&](Client &Connection) { return Connection.Get(Path); }));
}

platform::table_service makeTable(const pool_ptr &Pool) {
  platform::table_service Table;
  Table.Get = [Pool](std::string_view Key) -> absl::StatusOr<row> {
    const auto Body = getBody(*Pool, withParameter(TableRowPath, "key", Key));
    if (!Body.ok())
      return Body.status();
    return decodeRow(*Body);
  };
  Table.Scan =
      [Pool](std::string_view Prefix) -> absl::StatusOr<std::vector<row>> {
    const auto Body =
        getBody(*Pool, withParameter(TableRowsPath, "prefix", Prefix));
    if (!Body.ok())
      return Body.status();
    return decodeRows(*Body);
  };
  Table.Commit = [Pool](absl::Span<const condition> Conditions,
                        absl::Span<const write> Writes) -> absl::Status {
    const auto Body = encodeCommit(Conditions, Writes);
    if (!Body.ok())
      return Body.status();
    return commitOutcome(Pool->run([&](Client &Connection) {
      return Connection.Post(TableCommitPath, *Body, JsonType);
    }));
  };
  return Table;
}

platform::object_store makeObjects(const pool_ptr &Pool) {
  platform::object_store Objects;
  Objects.Put = [Pool](std::string_view Digest,
                       std::string_view Bytes) -> absl::Status {
    return idempotentOutcome(Pool->run([&](Client &Connection) {
             return Connection.Put(objectPath(Digest), Bytes.data(),
                                   Bytes.size(), BytesType);
           }))
        .status();
  };
  Objects.Get = [Pool](std::string_view Digest) {
    return getBody(*Pool, objectPath(Digest));
  };
  return Objects;
}

platform::instance_list makeInstances(const pool_ptr &Pool) {
  platform::instance_list Instances;
  Instances.Read = [Pool]() -> absl::StatusOr<std::vector<listed_instance>> {
    const auto Body = getBody(*Pool, InstancesPath);
    if (!Body.ok())
      return Body.status();
    return decodeInstances(*Body);
  };
  return Instances;
}

} // namespace

absl::StatusOr<platform::services>
connectPlatform(const platform_client_options &Options) {
  if (!common::isAddress(Options.Address))
    return absl::InvalidArgumentError(
        absl::StrCat("'", Options.Address, "' is not an IPv4:port address"));
  const auto Pool = std::make_shared<client_pool>(Options);
  return platform::services{makeTable(Pool), makeObjects(Pool),
                            makeInstances(Pool)};
}

} // namespace magnolia::net
