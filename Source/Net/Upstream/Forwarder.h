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

/// A target to send to.
struct target_choice {
  std::string Name;
  /// "IPv4:port".
  std::string Address;
};

/// What a forwarder asks and tells the rest of the instance.
struct forward_hooks {
  /// A target that is not among \p Tried; an error carries the kind of the
  /// refusal.
  std::function<absl::StatusOr<target_choice>(
      absl::Span<const std::string> Tried)>
      Choose;
  /// An attempt at \p Target has ended, possibly after run() returned. Called
  /// from any thread.
  std::function<void(const std::string &Target,
                     const request::attempt_outcome &Outcome)>
      Ended;
};

/// How a request went up to the head of its answer.
struct forward_result {
  /// The chosen answer, whose body is still to be read; absent on failure.
  std::optional<response_stream> Response;
  response_head Head;
  /// The target that answers, or the last one tried.
  std::string Target;
  /// Meaningful where there is no answer.
  request::request_verdict Verdict;
  std::string Detail;
};

/// Sends one request by the steps of its attempt_plan: retries, hedges, and
/// picks the first answer; the attempts that lose are cancelled.
class forwarder {
public:
  /// \p Request with a streamed body must not be repeatable in \p Plan, since
  /// its body cannot be sent twice.
  forwarder(upstream_pool &Pool, upstream_request Request,
            request::attempt_plan Plan, forward_hooks Hooks);

  /// Blocks until the head of an answer or the final failure. Call once.
  forward_result run();

  /// Ends run() early. Thread-safe.
  void callerDisconnected();

private:
  struct signal {
    absl::Mutex Mutex;
    absl::CondVar Changed;
    bool Raised ABSL_GUARDED_BY(Mutex) = false;
    bool CallerDisconnected ABSL_GUARDED_BY(Mutex) = false;

    void raise();
    /// Waits until raised or \p When; returns whether the caller has left.
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
  std::vector<std::string> Tried;
  std::vector<std::optional<response_stream>> Streams;
  std::optional<size_t> Winner;
  response_head Head;
  std::string Detail;
};

} // namespace magnolia::net
