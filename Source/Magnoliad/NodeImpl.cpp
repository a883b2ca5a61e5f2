#include "Magnoliad/NodeImpl.h"

#include <algorithm>
#include <fstream>

#include <absl/strings/str_cat.h>
#include <absl/strings/strip.h>

#include "Common/Digest.h"
#include "Common/ErrorKind.h"
#include "Common/Log.h"
#include "Magnoliad/ErrorResponse.h"
#include "Net/Http/Socket.h"
#include "Net/Platform/PlatformClient.h"

namespace magnolia::daemon {
namespace {

using common::boot_time;
using common::log_level;

constexpr const char *Component = "Node";
constexpr const char *BootIdFile = "/proc/sys/kernel/random/boot_id";
constexpr size_t ProcessNameBytes = 8;

std::string readBootId() {
  std::ifstream File(BootIdFile);
  std::string Id;
  std::getline(File, Id);
  return Id;
}

uint64_t startIncarnation() {
  return static_cast<uint64_t>(common::toUnixMicros(common::wallNow()));
}

/// The advertised address, or the bound one.
std::string advertised(const std::string &Setting, const std::string &Bound) {
  return Setting.empty() ? Bound : Setting;
}

} // namespace

node::impl::impl(const settings &Settings)
    : Settings(Settings), Process(common::randomHex(ProcessNameBytes)),
      BootId(readBootId()), Incarnation(startIncarnation()),
      Selector({Settings.Identity.Name, Settings.Identity.FailureDomain,
                Incarnation},
               Settings.Targets),
      Upstream({}), Forwarder(Upstream, Selector, Queues),
      Background(std::make_unique<background>()) {}

node::impl::~impl() {
  TimerThread.reset();
  if (Messenger)
    Messenger->stop();
  Background.reset();
  Callers.reset();
}

absl::Status node::impl::start() {
  const auto Services = net::connectPlatform(
      {.Address = Settings.PlatformAddress,
       .ConnectTimeout = Settings.Follow.PlatformTimeout,
       .ResponseTimeout = Settings.Follow.PlatformTimeout});
  if (!Services.ok())
    return Services.status();
  absl::Status Status = bind();
  if (Status.ok())
    Status = buildAgents(*Services);
  if (Status.ok())
    Status = serveCallers();
  if (!Status.ok())
    return Status;
  addMetrics();
  Messenger->start();
  subscribeTimers();
  TimerThread = std::make_unique<common::timer_thread>(Timers);
  common::log(log_level::Info, Component, "instance started",
              {{"name", Settings.Identity.Name},
               {"failure_domain", Settings.Identity.FailureDomain},
               {"callers", Callers->address()},
               {"peers", Messenger->address()}});
  return absl::OkStatus();
}

absl::Status node::impl::bind() {
  auto Created = peer_messenger::create(Settings.Identity.PeerListen,
                                        Settings.Identity.Name);
  if (!Created.ok())
    return Created.status();
  Messenger = std::move(*Created);

  http::http_server_options Options;
  Options.Address = Settings.Identity.CallerListen;
  Options.MaxHeadBytes = Settings.Limits.HeadBytes;
  Options.MaxThreads = Settings.Limits.Requests;
  Options.MaxConnections = Settings.Limits.Connections;
  auto Server = http::http_server::create(
      Options,
      [this](http::http_exchange &Exchange) { Gateway->handle(Exchange); },
      [](const absl::Status &Status) { return makeErrorResponse(Status, ""); });
  if (!Server.ok())
    return Server.status();
  Callers = std::move(*Server);
  return absl::OkStatus();
}

absl::Status node::impl::buildAgents(const platform::services &Services) {
  const identity_settings &Identity = Settings.Identity;
  instance::instance_info Self;
  Self.Name = Identity.Name;
  Self.Incarnation = Incarnation;
  Self.BootId = BootId;
  Self.FailureDomain = Identity.FailureDomain;
  Self.CallerAddress = advertised(Identity.CallerAdvertise, Callers->address());
  Self.PeerAddress = advertised(Identity.PeerAdvertise, Messenger->address());

  auto Created = rate_agent::create(Settings, Messenger->address(), BootId,
                                    Services, *Messenger);
  if (!Created.ok())
    return Created.status();
  Rates = std::move(*Created);
  Targets = std::make_unique<target_agent>(Selector, Process, Services,
                                           Upstream, *Messenger);
  Members = std::make_unique<member_agent>(
      Settings, std::move(Self), Services, *Messenger,
      member_agent::config_hooks{
          [this] { return Config->version(); },
          [this](common::boot_time Now) { return Config->age(Now); }});
  Config = std::make_unique<config_agent>(
      Settings, Services, *Background, *Messenger,
      [this](const contract::snapshot_ptr &Snapshot) { apply(Snapshot); });
  Claims = std::make_unique<claim_agent>(Identity.Name, Services.Table);
  return absl::OkStatus();
}

absl::Status node::impl::serveCallers() {
  Gateway =
      std::make_unique<gateway>(Settings, gatewayHooks(), Forwarder, Metrics);
  auto Created =
      admin_pages::create(Settings.Identity.AdminListen, Metrics, adminHooks());
  if (!Created.ok())
    return Created.status();
  Admin = std::move(*Created);
  Callers->start();
  return absl::OkStatus();
}

std::string node::impl::portLines() const {
  return absl::StrCat("callers ", http::portOf(Callers->address()), "\npeers ",
                      http::portOf(Messenger->address()), "\nadmin ",
                      http::portOf(Admin->address()), "\n");
}

} // namespace magnolia::daemon
