#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <vector>

#include "Common/ErrorKind.h"
#include "Common/Time.h"
#include "Request/Outcome.h"

/// Decides how often and when a request is sent to targets, and what its caller
/// may be told. Free of sockets, threads and clocks.
namespace magnolia::request {

/// What the plan needs to know about one request.
struct request_traits {
  /// Requests that are not repeatable run at most once.
  bool Repeatable = false;
  common::boot_time Deadline;
};

struct attempt_settings {
  /// Attempts for one request, hedges included.
  uint32_t AttemptLimit = 3;
  /// Kept from the deadline so that a refusal reaches the caller in time.
  std::chrono::milliseconds ResponseReserve{5};
  /// A hedge starts no earlier than this after the last attempt.
  std::chrono::milliseconds MinHedgeDelay{10};
};

/// What stands outside of the single request.
struct attempt_hooks {
  /// Takes a token for a retry or hedge; false when the budget is spent.
  std::function<bool()> TrySpendRetry;
  /// The latency after which a hedge pays off; absent while it is not known.
  std::function<std::optional<std::chrono::microseconds>()> HedgeDelay;
};

/// What to do next.
struct attempt_step {
  enum class kind : uint8_t {
    /// Start an attempt at a target that has none of this request yet.
    Start,
    /// Wait for an attempt's event or until WakeAt.
    Wait,
    /// Pass on what verdict() says and cancel what still runs.
    Finish
  };
  kind Kind = kind::Wait;
  /// For Start: when the attempt ends.
  common::boot_time AttemptDeadline;
  /// For Start: false for a connection that has served no other request.
  bool ConnectionReuseAllowed = false;
  /// For Wait.
  common::boot_time WakeAt = common::boot_time::max();
};

/// What the caller may be told about the whole request.
struct request_verdict {
  /// Absent when a whole answer was received.
  std::optional<common::error_kind> Error;
  /// NotRun only if no attempt can have run.
  common::execution Execution = common::execution::NotRun;
};

/// The attempts of one request. Not thread-safe.
class attempt_plan {
public:
  attempt_plan(const attempt_settings &Settings, const request_traits &Traits,
               attempt_hooks Hooks);

  /// After a Start, started() or noTarget() has to follow.
  attempt_step next(common::boot_time Now);

  /// Records that the attempt asked for by next() began; returns its number.
  size_t started(common::boot_time Now);

  /// No target could be had for a Start: ends the plan unless attempts still
  /// run. \p Kind is a reason for which nothing was sent.
  void noTarget(common::error_kind Kind);

  /// The head of attempt \p Number is being passed on. Only the first call
  /// returns true; after it no other attempt is started.
  bool commit(size_t Number);

  void finished(size_t Number, const attempt_outcome &Outcome);

  /// The caller has left: nothing more is started.
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
/// was written, or the target refused with its own not-run answer.
bool provesNotRun(const attempt_outcome &Outcome);

} // namespace magnolia::request
