#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include "Common/ErrorKind.h"
#include "Common/ShardedMap.h"
#include "Common/Time.h"
#include "Contract/Manifest.h"
#include "Magnoliad/BodyPipe.h"
#include "Magnoliad/QueueAgent.h"
#include "Net/Base/WorkerPool.h"
#include "Net/Http/HttpServer.h"
#include "Net/Upstream/Forwarder.h"
#include "Net/Upstream/UpstreamPool.h"
#include "Request/LatencyQuantile.h"
#include "Request/RetryBudget.h"
#include "Target/Selector.h"

namespace magnolia::daemon {

/// A request that passed all checks and is ready to be forwarded.
struct forward_request {
  const contract::route *Route = nullptr;
  const contract::service *Service = nullptr;
  /// Empty on an open route.
  std::string Workspace;
  std::string RequestId;
  const http::request_head *Head = nullptr;
  /// The complete body, unless Pipe is set.
  std::string Body;
  std::shared_ptr<body_pipe> Pipe;
  std::optional<uint64_t> PipeLength;
  common::boot_time Deadline;
  /// Reads the caller's body into Pipe.
  std::function<void()> PumpBody;
  /// Called immediately before each attempt is written; an error cancels it.
  std::function<absl::Status()> Spend;
};

/// Information about a forwarded request for the log and its idempotency claim.
struct forward_report {
  std::string Target;
  /// Whether a target executed the request, for requests without a response.
  common::execution Execution = common::execution::NotRun;
  /// When the rate permit of each attempt was spent.
  std::vector<common::boot_time> Spent;
};

/// The head of a response, and a function that streams its body.
struct forward_response {
  int Status = 0;
  http::header_list Headers;
  std::optional<uint64_t> BodyLength;
  /// Sends the body; returns false if it was interrupted.
  std::function<bool(const http::byte_sink &Sink)> Produce;
};

/// Forwards requests to targets: waits for a queue slot, chooses targets and
/// runs attempts by the attempt plan. Thread-safe.
class forwarder {
public:
  forwarder(net::upstream_pool &Upstream, target::target_selector &Selector,
            queue_agent &Queues);

  /// Receives a function that cancels the request and can be called by any
  /// thread.
  using cancel_hook = std::function<void(std::function<void()> Cancel)>;

  /// Returns the head of the response, or the error if there is none.
  absl::StatusOr<forward_response> forward(const forward_request &Request,
                                           const cancel_hook &OnCancel,
                                           forward_report &Report);

private:
  /// Quantile of the recent latencies of one service, for hedges.
  using latencies = std::unique_ptr<request::latency_quantile>;

  request::attempt_plan makePlan(const forward_request &Request);
  net::forward_result run(net::forwarder &Forwarder,
                          const forward_request &Request);
  std::optional<std::chrono::microseconds>
  hedgeDelay(const std::string &Service);
  void recordLatency(const std::string &Service,
                     std::chrono::microseconds Latency);

  net::upstream_pool &Upstream;
  target::target_selector &Selector;
  queue_agent &Queues;
  request::retry_budgets Budgets;
  common::sharded_map<std::string, latencies> Latencies;
  /// Forwards requests with streamed bodies while their own threads read the
  /// bodies from the callers.
  net::worker_pool Runners;
};

} // namespace magnolia::daemon
