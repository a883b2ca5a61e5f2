#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include "Common/Time.h"
#include "Contract/Manifest.h"
#include "Magnoliad/BodyPipe.h"
#include "Magnoliad/QueueAgent.h"
#include "Net/Http/HttpServer.h"
#include "Net/Upstream/UpstreamPool.h"
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
  /// Reads the caller's body into Pipe; called once the attempt has begun.
  std::function<void()> PumpBody;
  /// Called right before each attempt is written; false refuses the request.
  std::function<bool()> Spend;
};

/// What became of a request, for the log.
struct forward_report {
  std::string Target;
  int Attempts = 0;
};

/// The whole head of an answer, whose body follows.
struct forward_answer {
  int Status = 0;
  http::header_list Headers;
  std::optional<uint64_t> BodyLength;
  /// Sends the body; false when it broke off.
  std::function<bool(const http::byte_sink &Sink)> Produce;
};

/// Sends requests to targets: choice, attempts and retries.
class forwarder {
public:
  forwarder(net::upstream_pool &Upstream, target::target_selector &Selector,
            queue_agent &Queues)
      : Upstream(Upstream), Selector(Selector), Queues(Queues) {}

  /// The answer's head, or why there is none. \p OnCancel is given a function
  /// that ends the attempt in flight and may be called by any thread.
  absl::StatusOr<forward_answer>
  forward(const forward_request &Request,
          const std::function<void(std::function<void()>)> &OnCancel,
          forward_report &Report);

private:
  class attempt;
  using attempt_ptr = std::shared_ptr<attempt>;

  absl::StatusOr<attempt_ptr> begin(const forward_request &Request,
                                    const queue_turn_ptr &Turn,
                                    std::vector<std::string> &Tried);
  std::optional<target::choice> choose(const forward_request &Request,
                                       queue_turn &Turn,
                                       const std::vector<std::string> &Tried);
  net::upstream_request buildRequest(const forward_request &Request) const;

  net::upstream_pool &Upstream;
  target::target_selector &Selector;
  queue_agent &Queues;
};

} // namespace magnolia::daemon
