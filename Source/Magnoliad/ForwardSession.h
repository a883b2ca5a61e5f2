#pragma once

#include <atomic>
#include <functional>
#include <string>

#include <absl/base/thread_annotations.h>
#include <absl/container/flat_hash_map.h>
#include <absl/status/status.h>
#include <absl/status/statusor.h>
#include <absl/synchronization/mutex.h>
#include <absl/types/span.h>

#include "Magnoliad/QueueAgent.h"
#include "Net/Upstream/Forwarder.h"
#include "Request/Outcome.h"
#include "Target/Selector.h"

namespace magnolia::daemon {

/// The attempts of one request at the targets: what each holds there, and what
/// is learned from its end. Lives until the last attempt has ended, and keeps
/// the request's turn so long. Thread-safe.
class forward_session {
public:
  /// Hears the latency of each successful attempt.
  using latency_hook = std::function<void(std::chrono::microseconds)>;

  forward_session(std::string Service, target::target_selector &Selector,
                  queue_slot_ptr Slot, latency_hook OnLatency);
  ~forward_session();
  forward_session(const forward_session &) = delete;
  forward_session &operator=(const forward_session &) = delete;

  /// A target that is not among \p Tried and has room; \p Spend pays for the
  /// attempt. A first attempt has its turn and waits for room up to
  /// \p Deadline, since a hedge of another request may hold it for a moment.
  absl::StatusOr<net::target_choice>
  choose(absl::Span<const std::string> Tried, common::boot_time Deadline,
         const std::function<absl::Status()> &Spend);

  /// The attempt at \p Target has ended.
  void finishAttempt(const std::string &Target,
                     const request::attempt_outcome &Outcome);

  /// The caller has left: attempts that end now say nothing of their targets.
  void callerDisconnected() { CallerDisconnected = true; }

private:
  std::optional<target::choice> awaitCapacity(common::boot_time Deadline);
  std::optional<target::choice>
  chooseWithCapacity(absl::Span<const std::string> Tried);
  void release(const target::choice &Choice);
  void finishSuperseded(const target::choice &Choice,
                        const request::attempt_outcome &Outcome);

  const std::string Service;
  target::target_selector &Selector;
  const queue_slot_ptr Slot;
  const latency_hook OnLatency;
  std::atomic<bool> CallerDisconnected{false};
  absl::Mutex Mutex;
  /// By the target's name; a request goes to a target at most once.
  absl::flat_hash_map<std::string, target::choice>
      Running ABSL_GUARDED_BY(Mutex);
};

} // namespace magnolia::daemon
