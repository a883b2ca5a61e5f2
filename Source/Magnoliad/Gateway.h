#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include "Common/Metrics.h"
#include "Common/Time.h"
#include "Contract/Snapshot.h"
#include "Magnoliad/Forwarder.h"
#include "Magnoliad/Settings.h"
#include "Net/Http/HttpServer.h"
#include "Request/ClaimStore.h"

namespace magnolia::daemon {

/// Permit to send one request of a workspace, reserved but not yet spent.
struct rate_permit {
  /// Called immediately before the request is written; false if the permit has
  /// expired.
  std::function<bool()> Spend;
  /// Called if the request will not be written.
  std::function<void()> Cancel;
};

/// Functions of other components that the gateway uses.
struct gateway_hooks {
  /// The configuration in force; null before the first one.
  std::function<contract::snapshot_ptr()> Snapshot;

  /// Whether the configuration is fresh enough to check keys.
  std::function<bool()> IsFresh;

  /// Waits until the workspace may send one request. Fails with RateExceeded
  /// or RateUnavailable.
  std::function<absl::StatusOr<rate_permit>(std::string_view Workspace,
                                            common::boot_time Deadline)>
      AdmitRate;

  /// Claims an idempotency key; see claim_agent.
  std::function<absl::StatusOr<request::claim>(
      const request::idempotency_scope &Scope, const std::string &Fingerprint,
      common::boot_time Deadline)>
      ClaimKey;

  /// Records the outcome of a claimed request.
  std::function<void(const request::claim &Claim, common::execution Execution,
                     int HttpStatus)>
      FinishClaim;

  /// The directory response for a caller of \p Workspace; empty without a key.
  std::function<http::buffered_response(std::string_view Workspace)> Directory;
};

/// Serves the requests of callers: finds the route, checks key, freshness and
/// rate, claims the idempotency key and forwards the request. Thread-safe.
class gateway {
public:
  gateway(const settings &Settings, gateway_hooks Hooks, forwarder &Forwarder,
          common::metrics &Metrics);

  /// Serves one request and sets its response.
  void handle(http::http_exchange &Exchange);

private:
  struct request_context;
  using context_ptr = std::shared_ptr<request_context>;

  absl::Status serve(http::http_exchange &Exchange, const context_ptr &Context);
  absl::Status serveDirectory(http::http_exchange &Exchange,
                              request_context &Context);
  absl::Status serveRoute(http::http_exchange &Exchange,
                          const context_ptr &Context);
  absl::Status checkKey(const http::request_head &Head,
                        request_context &Context) const;
  absl::Status authorize(std::string_view Secret,
                         request_context &Context) const;
  absl::Status readBody(http::http_exchange &Exchange,
                        request_context &Context) const;
  absl::Status claimKey(request_context &Context) const;
  void finishClaim(request_context &Context, const absl::Status &Status) const;
  absl::Status admit(request_context &Context) const;
  absl::Status forward(http::http_exchange &Exchange,
                       const context_ptr &Context);
  absl::Status spend(request_context &Context) const;
  absl::StatusOr<common::boot_time> spendPermit(request_context &Context) const;
  void pumpBody(http::http_exchange &Exchange, request_context &Context) const;
  void record(const request_context &Context);

  const settings &Settings;
  const gateway_hooks Hooks;
  forwarder &Forwarder;
  common::metrics &Metrics;
};

} // namespace magnolia::daemon
