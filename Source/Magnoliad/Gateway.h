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

/// The right to send one request of a workspace, reserved but not yet spent.
struct rate_permit {
  /// Right before the request is written; false: the right has ended.
  std::function<bool()> Spend;
  /// The request will not be written.
  std::function<void()> Cancel;
};

/// What the gateway asks of the rest of the instance.
struct gateway_hooks {
  /// The configuration in force; null before the first one.
  std::function<contract::snapshot_ptr()> Snapshot;

  /// Whether what this instance knows of keys is fresh enough.
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

  /// Records how a claimed request ended.
  std::function<void(const request::claim &Claim, common::execution Execution,
                     int HttpStatus)>
      FinishClaim;

  /// The directory's answer to a caller of \p Workspace; empty without a key.
  std::function<http::whole_answer(std::string_view Workspace)> Directory;
};

/// The path of a request through this instance: route, key, freshness, rate,
/// then the forwarder. Thread-safe.
class gateway {
public:
  gateway(const settings &Settings, gateway_hooks Hooks, forwarder &Forwarder,
          common::metrics &Metrics);

  /// Serves one caller's request and sets its answer.
  void handle(http::http_exchange &Exchange);

private:
  struct visit;
  using visit_ptr = std::shared_ptr<visit>;

  absl::Status serve(http::http_exchange &Exchange, const visit_ptr &Visit);
  absl::Status serveDirectory(http::http_exchange &Exchange, visit &Visit);
  absl::Status serveRoute(http::http_exchange &Exchange,
                          const visit_ptr &Visit);
  absl::Status checkKey(const http::request_head &Head, visit &Visit) const;
  absl::Status authorize(std::string_view Secret, visit &Visit) const;
  absl::Status readBody(http::http_exchange &Exchange, visit &Visit) const;
  absl::Status claimKey(visit &Visit) const;
  void finishClaim(visit &Visit, const absl::Status &Status) const;
  absl::Status admit(visit &Visit) const;
  absl::Status forward(http::http_exchange &Exchange, const visit_ptr &Visit);
  absl::Status spend(visit &Visit) const;
  absl::Status spendRight(visit &Visit) const;
  void pumpBody(http::http_exchange &Exchange, visit &Visit) const;
  void record(const visit &Visit);

  const settings &Settings;
  const gateway_hooks Hooks;
  forwarder &Forwarder;
  common::metrics &Metrics;
};

} // namespace magnolia::daemon
