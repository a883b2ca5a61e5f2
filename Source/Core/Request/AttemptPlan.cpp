#include "Request/AttemptPlan.h"

#include <algorithm>
#include <utility>

namespace magnolia::request {

using common::boot_time;
using common::error_kind;
using common::execution;

namespace {

/// Kinds that another target would return as well, or that have no caller left
/// to wait for a retry.
bool isFinal(error_kind Kind) {
  return Kind == error_kind::BadRequest || Kind == error_kind::AnswerTooLarge ||
         Kind == error_kind::CallerGone;
}

} // namespace

bool provesNotRun(const attempt_outcome &Outcome) {
  if (Outcome.ok() || Outcome.Execution != execution::NotRun)
    return false;
  return Outcome.BytesWritten == 0 ||
         *Outcome.Error == error_kind::TargetRefused;
}

attempt_plan::attempt_plan(const attempt_settings &Settings,
                           const request_traits &Traits, attempt_hooks Hooks)
    : Settings(Settings), Traits(Traits), Hooks(std::move(Hooks)) {}

attempt_step attempt_plan::next(boot_time Now) {
  attempt_step Step;
  if (isOver()) {
    Step.Kind = attempt_step::kind::Finish;
    return Step;
  }
  if (Committed) {
    Step.WakeAt = Traits.Deadline;
    return Step;
  }
  if (Now >= attemptDeadline()) {
    Step.Kind = attempt_step::kind::Finish;
    return Step;
  }
  if (!isRunning()) {
    if (Attempts.empty() || mayRetry())
      return startStep();
    Step.Kind = attempt_step::kind::Finish;
    return Step;
  }
  Step.WakeAt = attemptDeadline();
  if (mayHedge(Now, Step))
    return startStep();
  return Step;
}

bool attempt_plan::isOver() const {
  if (Refusal == error_kind::CallerGone || (Refusal && !isRunning()))
    return true;
  return Committed && Attempts[*Committed].Outcome.has_value();
}

bool attempt_plan::isRunning() const {
  return std::any_of(
      Attempts.begin(), Attempts.end(),
      [](const attempt &Attempt) { return !Attempt.Outcome.has_value(); });
}

boot_time attempt_plan::attemptDeadline() const {
  return Traits.Deadline - Settings.ResponseReserve;
}

attempt_step attempt_plan::startStep() const {
  attempt_step Step;
  Step.Kind = attempt_step::kind::Start;
  Step.AttemptDeadline = attemptDeadline();
  Step.ConnectionReuseAllowed = Traits.Repeatable;
  return Step;
}

bool attempt_plan::lastFailureAllowsRetry() const {
  const attempt_outcome &Last = *Attempts[*LastFinished].Outcome;
  if (Last.ok() || isFinal(*Last.Error))
    return false;
  if (Traits.Repeatable)
    return true;
  return std::all_of(Attempts.begin(), Attempts.end(), [](const auto &Attempt) {
    return provesNotRun(*Attempt.Outcome);
  });
}

bool attempt_plan::mayRetry() {
  if (RetryDecided || Attempts.size() >= Settings.AttemptLimit ||
      !lastFailureAllowsRetry())
    return false;
  RetryDecided = true;
  // An attempt that wrote nothing added no load to a target, so a retry needs
  // no budget.
  if (Attempts[*LastFinished].Outcome->BytesWritten == 0)
    return true;
  return Hooks.TrySpendRetry && Hooks.TrySpendRetry();
}

second_send_state attempt_plan::secondSendState(boot_time Now) const {
  const auto Micros = [](common::boot_clock::duration Duration) {
    return std::chrono::duration_cast<std::chrono::microseconds>(Duration);
  };
  second_send_state State;
  State.Repeatable = Traits.Repeatable;
  State.HasOtherTarget =
      !HedgeRefused && !Refusal && Attempts.size() < Settings.AttemptLimit;
  if (Hooks.HedgeDelay && State.Repeatable && State.HasOtherTarget)
    State.Delay = Hooks.HedgeDelay();
  if (State.Delay)
    State.Delay = std::max<std::chrono::microseconds>(*State.Delay,
                                                      Settings.MinHedgeDelay);
  State.Waited = Micros(Now - Attempts.back().Started);
  State.TimeLeft = Micros(attemptDeadline() - Now);
  return State;
}

bool attempt_plan::mayHedge(boot_time Now, attempt_step &Step) {
  const second_send_state State = secondSendState(Now);
  const second_send_reason Decision = decideSecondSend({}, State);
  if (Decision == second_send_reason::TooEarly)
    Step.WakeAt = std::min(Step.WakeAt, Attempts.back().Started + *State.Delay);
  if (Decision != second_send_reason::Start)
    return false;
  HedgeRefused = !Hooks.TrySpendRetry || !Hooks.TrySpendRetry();
  return !HedgeRefused;
}

size_t attempt_plan::started(boot_time Now) {
  RetryDecided = false;
  Attempts.push_back({Now, std::nullopt});
  return Attempts.size() - 1;
}

void attempt_plan::noTarget(error_kind Kind) {
  if (isRunning())
    HedgeRefused = true;
  else
    Refusal = Kind;
}

bool attempt_plan::commit(size_t Number) {
  if (Committed)
    return false;
  Committed = Number;
  return true;
}

void attempt_plan::finished(size_t Number, const attempt_outcome &Outcome) {
  Attempts[Number].Outcome = Outcome;
  LastFinished = Number;
}

void attempt_plan::callerDisconnected() { Refusal = error_kind::CallerGone; }

bool attempt_plan::mayHaveRun() const {
  return std::any_of(
      Attempts.begin(), Attempts.end(), [](const attempt &Attempt) {
        return !Attempt.Outcome || !provesNotRun(*Attempt.Outcome);
      });
}

request_verdict attempt_plan::verdict() const {
  if (Committed && Attempts[*Committed].Outcome &&
      Attempts[*Committed].Outcome->ok())
    return {std::nullopt, execution::Ran};
  // If an attempt may have run, report only the errors of such attempts.
  const bool MayHaveRun = mayHaveRun();
  request_verdict Verdict;
  Verdict.Execution = execution::NotRun;
  Verdict.Error = Refusal.value_or(error_kind::QueueDeadlineExceeded);
  if (MayHaveRun) {
    Verdict.Execution = execution::Unknown;
    Verdict.Error = error_kind::DeadlineExceeded;
  }
  for (const attempt &Attempt : Attempts) {
    if (!Attempt.Outcome || Attempt.Outcome->ok())
      continue;
    if (Refusal && !MayHaveRun)
      continue;
    if (MayHaveRun && provesNotRun(*Attempt.Outcome))
      continue;
    Verdict.Error = Attempt.Outcome->Error;
    if (Attempt.Outcome->Execution == execution::Ran)
      Verdict.Execution = execution::Ran;
  }
  if (Refusal == error_kind::CallerGone)
    Verdict.Error = error_kind::CallerGone;
  return Verdict;
}

} // namespace magnolia::request
