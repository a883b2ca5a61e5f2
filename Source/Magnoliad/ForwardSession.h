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

/// The attempts of one request: reserves capacity at a target for each and
/// reports its outcome to the selector and the limits. Lives until the last
/// attempt has ended and holds the queue slot of the request until then.
/// Thread-safe.
class forward_session {
public:
  /// Receives the latency of each successful attempt.
  using latency_hook = std::function<void(std::chrono::microseconds)>;

  forward_session(std::string Service, target::target_selector &Selector,
                  queue_slot_ptr Slot, latency_hook OnLatency);
  ~forward_session();
  forward_session(const forward_session &) = delete;
  forward_session &operator=(const forward_session &) = delete;

  /// Chooses a target with free capacity that is not among \p Tried; \p Spend
  /// spends the rate permit of the attempt. A first attempt already has its
  /// queue slot and waits for capacity, until \p Deadline at the latest, since
  /// a hedge of another request may use it briefly.
  absl::StatusOr<net::target_choice>
  choose(absl::Span<const std::string> Tried, common::boot_time Deadline,
         const std::function<absl::Status()> &Spend);

  /// Reports the outcome of the attempt at \p Target and frees its capacity.
  void finishAttempt(const std::string &Target,
                     const request::attempt_outcome &Outcome);

  /// The caller has disconnected: attempts that end with CallerGone from now on
  /// are not counted for or against their targets.
  void callerDisconnected() { CallerDisconnected = true; }

private:
  std::optional<target::choice> awaitCapacity(common::boot_time Deadline);
  std::optional<target::choice>
  chooseWithCapacity(absl::Span<const std::string> Tried);
  void release(const target::choice &Choice);
  struct running_attempt {
    target::choice Choice;
    /// Attempts of the request are numbered from one.
    size_t Number = 0;
  };

  /// Another attempt was faster than \p Attempt.
  void finishSuperseded(const running_attempt &Attempt,
                        const request::attempt_outcome &Outcome, bool IsLatest);

  const std::string Service;
  target::target_selector &Selector;
  const queue_slot_ptr Slot;
  const latency_hook OnLatency;
  std::atomic<bool> CallerDisconnected{false};
  absl::Mutex Mutex;
  /// By target name; a request has at most one attempt at each target.
  absl::flat_hash_map<std::string, running_attempt>
      Running ABSL_GUARDED_BY(Mutex);
  size_t Attempts ABSL_GUARDED_BY(Mutex) = 0;
};

} // namespace magnolia::daemon
