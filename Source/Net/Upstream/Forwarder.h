#pragma once

#include <atomic>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <absl/base/thread_annotations.h>
#include <absl/status/statusor.h>
#include <absl/synchronization/mutex.h>
#include <absl/types/span.h>

#include "Net/Upstream/UpstreamPool.h"
#include "Request/AttemptPlan.h"

namespace magnolia::net {

/// The target chosen for an attempt.
struct target_choice {
  std::string Name;
  /// "IPv4:port".
  std::string Address;
};

/// Callbacks of a forwarder: target selection and reporting of outcomes.
struct forward_hooks {
  /// Chooses a target that is not in \p Tried; an error carries the error_kind
  /// of the refusal.
  std::function<absl::StatusOr<target_choice>(
      absl::Span<const std::string> Tried)>
      Choose;
  /// An attempt at \p Target has ended, possibly after run() returned. Called
  /// from any thread.
  std::function<void(const std::string &Target,
                     const request::attempt_outcome &Outcome)>
      Ended;
};

/// The result of a request up to the head of its response.
struct forward_result {
  /// The response, whose body has not been read yet; absent on failure.
  std::optional<response_stream> Response;
  response_head Head;
  /// The target that sent the response, or the last one tried.
  std::string Target;
  /// Valid only without a response.
  request::request_verdict Verdict;
  /// Error text of the last attempt or target selection that failed; empty if
  /// none did.
  std::string Detail;
};

/// Sends one request by the steps of its attempt_plan, including retries and
/// hedges. Uses the first response and cancels the other attempts.
class forwarder {
public:
  /// A \p Request with a streamed body must not be repeatable in \p Plan, since
  /// its body cannot be sent twice.
  forwarder(upstream_pool &Pool, upstream_request Request,
            request::attempt_plan Plan, forward_hooks Hooks);

  /// Blocks until the head of a response is received or the request fails.
  /// Call once.
  forward_result run();

  /// Reports that the caller disconnected, which ends run() early.
  /// Thread-safe.
  void callerDisconnected();

private:
  struct signal {
    absl::Mutex Mutex;
    absl::CondVar Changed;
    bool Raised ABSL_GUARDED_BY(Mutex) = false;
    bool CallerDisconnected ABSL_GUARDED_BY(Mutex) = false;

    void raise();
    /// Waits until raised or \p When; returns whether the caller disconnected.
    bool await(common::boot_time When);
  };

  void startAttempt(const request::attempt_step &Step);
  void collectResponses();
  forward_result finish();
  body_reader trackedBody();

  upstream_pool &Pool;
  const upstream_request Request;
  request::attempt_plan Plan;
  const forward_hooks Hooks;
  const std::shared_ptr<signal> Signal = std::make_shared<signal>();
  const std::shared_ptr<std::atomic<bool>> BodyStarted =
      std::make_shared<std::atomic<bool>>(false);
  /// The target of each attempt, in the order of their start.
  std::vector<std::string> Tried;
  /// The stream of each attempt, in the same order; absent once it has failed.
  std::vector<std::optional<response_stream>> Streams;
  std::optional<size_t> Winner;
  response_head Head;
  std::string Detail;
};

} // namespace magnolia::net
