#include "Magnoliad/Node.h"

#include <atomic>
#include <thread>

#include <absl/strings/str_cat.h>
#include <absl/synchronization/mutex.h>

#include "Common/ErrorKind.h"
#include "Common/Log.h"
#include "Common/TimerService.h"
#include "Magnoliad/ConfigFeed.h"
#include "Magnoliad/Directory.h"
#include "Magnoliad/Forwarder.h"
#include "Magnoliad/Gateway.h"
#include "Magnoliad/Metrics.h"
#include "Magnoliad/Refusal.h"
#include "Net/Http/HttpServer.h"
#include "Net/Platform/PlatformClient.h"
#include "Net/Upstream/UpstreamPool.h"
#include "Platform/InstanceRow.h"
#include "Target/Selector.h"

namespace magnolia::daemon {
namespace {

using common::boot_clock;
using common::boot_time;
using common::log_level;

constexpr const char *Room = "Node";

} // namespace

class node::impl {
public:
  explicit impl(const settings &Settings)
      : Settings(Settings),
        Selector({Settings.Identity.Name, Settings.Identity.FailureDomain, 1},
                 Settings.Targets),
        Upstream({}), Forwarder(Upstream, Selector) {}

  absl::Status start();
  std::string portLines() const;
  void stop();

private:
  const settings Settings;
  metrics Metrics;
  target::target_selector Selector;
  net::upstream_pool Upstream;
  forwarder Forwarder;
  std::unique_ptr<config_feed> Feed;
  std::unique_ptr<gateway> Gateway;
  std::unique_ptr<http::http_server> Callers;
};

absl::Status node::impl::start() { return absl::OkStatus(); }
std::string node::impl::portLines() const { return ""; }
void node::impl::stop() {}

} // namespace magnolia::daemon
