#pragma once

#include <functional>
#include <memory>
#include <string>

#include <absl/status/statusor.h>

#include "Common/Metrics.h"
#include "Net/Http/HttpServer.h"

namespace magnolia::daemon {

/// Content of the pages.
struct admin_hooks {
  /// Empty if callers are served, otherwise the reason why not.
  std::function<std::string()> NotReady;
  /// Returns JSON with the version, members and targets.
  std::function<std::string()> Status;
};

/// HTTP server for operators on a separate port: /healthz, /readyz, /metrics
/// and /status.
class admin_pages {
public:
  static absl::StatusOr<std::unique_ptr<admin_pages>>
  create(const std::string &Address, common::metrics &Metrics,
         admin_hooks Hooks);

  /// "IPv4:port".
  const std::string &address() const { return Server->address(); }

private:
  admin_pages(common::metrics &Metrics, admin_hooks Hooks)
      : Metrics(Metrics), Hooks(std::move(Hooks)) {}
  http::buffered_response respond(const std::string &Path);

  common::metrics &Metrics;
  const admin_hooks Hooks;
  std::unique_ptr<http::http_server> Server;
};

} // namespace magnolia::daemon
