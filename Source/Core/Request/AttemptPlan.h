#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <vector>

#include "Common/ErrorKind.h"
#include "Common/Time.h"
#include "Request/Outcome.h"
#include "Request/SecondSend.h"

/// Decides how often and when a request is sent to targets, and which result
/// its caller may get. Uses no sockets, threads or clocks.
namespace magnolia::request {

/// What the plan needs to know about one request.
struct request_traits {
  /// Requests that are not repeatable run at most once.
  bool Repeatable = false;
  common::boot_time Deadline;
};

struct attempt_settings {
  /// Maximum attempts for one request, hedges included.
  uint32_t AttemptLimit = 3;
  /// Time reserved before the deadline so that a refusal reaches the caller in
  /// time.
  std::chrono::milliseconds ResponseReserve{5};
  /// A hedge starts no earlier than this after the last attempt.
  std::chrono::milliseconds MinHedgeDelay{10};
};

/// Access to state that is shared by all requests.
struct attempt_hooks {
  /// Takes a token for a retry or hedge; false when the budget is spent.
  std::function<bool()> TrySpendRetry;
  /// The latency after which a hedge is worthwhile; absent while it is not
  /// known.
  std::function<std::optional<std::chrono::microseconds>()> HedgeDelay;
};

/// The next action of an attempt_plan.
struct attempt_step {
  enum class kind : uint8_t {
    /// Start an attempt at a target that has not been sent this request.
    Start,
    /// Wait for an attempt's event or until WakeAt.
    Wait,
    /// Report verdict() to the caller and cancel attempts that are still
    /// running.
    Finish
  };
  kind Kind = kind::Wait;
  /// For Start: the deadline of the attempt.
  common::boot_time AttemptDeadline;
  /// For Start: if false, the attempt needs a connection that has served no
  /// other request.
  bool ConnectionReuseAllowed = false;
  /// For Wait: when to call next() again at the latest.
  common::boot_time WakeAt = common::boot_time::max();
};

/// The result of the request as it may be reported to the caller.
struct request_verdict {
  /// Absent when a complete response was received.
  std::optional<common::error_kind> Error;
  /// NotRun only if no attempt can have run.
  common::execution Execution = common::execution::NotRun;
};

/// The attempts of one request. Not thread-safe.
class attempt_plan {
public:
  attempt_plan(const attempt_settings &Settings, const request_traits &Traits,
               attempt_hooks Hooks);

  /// Returns the next action. After a Start, call started() or noTarget().
  attempt_step next(common::boot_time Now);

  /// Records the start of the attempt requested by next() and returns its
  /// number.
  size_t started(common::boot_time Now);

  /// Records that no target was available for a Start: ends the plan unless
  /// attempts are still running. \p Kind is the reason why nothing was sent.
  void noTarget(common::error_kind Kind);

  /// Records that the response head of attempt \p Number is about to be
  /// forwarded. Only the first call returns true; after it no other attempt is
  /// started.
  bool commit(size_t Number);

  void finished(size_t Number, const attempt_outcome &Outcome);

  /// Records that the caller has disconnected: no more attempts are started.
  void callerDisconnected();

  request_verdict verdict() const;

private:
  struct attempt {
    common::boot_time Started;
    std::optional<attempt_outcome> Outcome;
  };

  bool isRunning() const;
  bool isOver() const;
  bool mayRetry();
  bool lastFailureAllowsRetry() const;
  second_send_state secondSendState(common::boot_time Now) const;
  bool mayHedge(common::boot_time Now, attempt_step &Step);
  attempt_step startStep() const;
  common::boot_time attemptDeadline() const;
  bool mayHaveRun() const;

  const attempt_settings Settings;
  const request_traits Traits;
  const attempt_hooks Hooks;
  std::vector<attempt> Attempts;
  std::optional<size_t> Committed;
  std::optional<size_t> LastFinished;
  std::optional<common::error_kind> Refusal;
  bool RetryDecided = false;
  bool HedgeRefused = false;
};

/// Whether \p Outcome proves that the target did not run the request: nothing
/// was written, or the target refused with its own not-run response.
bool provesNotRun(const attempt_outcome &Outcome);

} // namespace magnolia::request
