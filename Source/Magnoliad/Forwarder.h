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

/// A request that passed every check and goes to a target.
struct forward_request {
  const contract::route *Route = nullptr;
  const contract::service *Service = nullptr;
  /// Empty on a route open to all.
  std::string Workspace;
  std::string RequestId;
  const http::request_head *Head = nullptr;
  /// The whole body, unless Pipe is set.
  std::string Body;
  std::shared_ptr<body_pipe> Pipe;
  std::optional<uint64_t> PipeLength;
  common::boot_time Deadline;
  /// Reads the caller's body into Pipe.
  std::function<void()> PumpBody;
  /// Called right before each attempt is written; an error refuses it.
  std::function<absl::Status()> Spend;
};

/// What became of a request, for the log.
struct forward_report {
  std::string Target;
  /// Whether a target ran the request, where no answer came.
  common::execution Execution = common::execution::NotRun;
  /// When the right to send each attempt was spent.
  std::vector<common::boot_time> Spent;
};

/// The whole head of an answer, whose body follows.
struct forward_response {
  int Status = 0;
  http::header_list Headers;
  std::optional<uint64_t> BodyLength;
  /// Sends the body; false when it broke off.
  std::function<bool(const http::byte_sink &Sink)> Produce;
};

/// Sends requests to targets: waits for a turn, chooses targets, follows the
/// attempt plan. Thread-safe.
class forwarder {
public:
  forwarder(net::upstream_pool &Upstream, target::target_selector &Selector,
            queue_agent &Queues);

  /// Takes a function that ends the request early, callable by any thread.
  using cancel_hook = std::function<void(std::function<void()> Cancel)>;

  /// The answer's head, or why there is none.
  absl::StatusOr<forward_response> forward(const forward_request &Request,
                                           const cancel_hook &OnCancel,
                                           forward_report &Report);

private:
  /// Recent latencies of one service, for hedges.
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
  /// Runs requests whose body streams, while their own thread reads it.
  net::worker_pool Runners;
};

} // namespace magnolia::daemon
