#include "Magnoliad/ForwardSession.h"

#include <algorithm>
#include <thread>

#include <absl/strings/str_cat.h>

#include "Common/ErrorKind.h"

namespace magnolia::daemon {
namespace {

using common::boot_clock;
using common::boot_time;
using common::error_kind;

constexpr int FirstServerError = 500;

/// Maximum wait of a granted request for capacity at a target, and the interval
/// between its checks.
constexpr std::chrono::milliseconds CapacityTimeout{500};
constexpr std::chrono::milliseconds CapacityPollInterval{1};

target::outcome outcomeOf(const request::attempt_outcome &Outcome) {
  if (Outcome.ok())
    return Outcome.HttpStatus >= FirstServerError ? target::outcome::Error
                                                  : target::outcome::Success;
  switch (*Outcome.Error) {
  case error_kind::TargetUnreachable:
    return target::outcome::Unreachable;
  case error_kind::TargetRefused:
    return target::outcome::RefusedNotRun;
  case error_kind::AnswerTruncated:
    return target::outcome::HalfAnswer;
  case error_kind::AnswerMismatched:
    return target::outcome::Mismatched;
  case error_kind::DeadlineExceeded:
    return target::outcome::Stall;
  default:
    return target::outcome::Error;
  }
}

target::observation observe(const request::attempt_outcome &Outcome) {
  target::observation Observation;
  Observation.Outcome = outcomeOf(Outcome);
  const request::attempt_times &Times = Outcome.Times;
  const boot_time Written = Times.RequestWritten.value_or(Times.Started);
  Observation.Latency = Times.ResponseHead.value_or(Times.Finished) - Written;
  if (Times.Connected && !Outcome.ConnectionReused)
    Observation.ConnectLatency = *Times.Connected - Times.Started;
  if (Outcome.TargetDraining)
    Observation.Drain = target::drain_report{.Draining = true};
  return Observation;
}

admission::target_outcome
limitOutcome(const request::attempt_outcome &Outcome) {
  if (Outcome.ok())
    return admission::target_outcome::Succeeded;
  return Outcome.Error == error_kind::TargetRefused
             ? admission::target_outcome::Refused
             : admission::target_outcome::Failed;
}

/// Whether the caller disconnected or a faster attempt succeeded.
bool wasCancelled(const request::attempt_outcome &Outcome) {
  return Outcome.Error == error_kind::CallerGone;
}

} // namespace

forward_session::forward_session(std::string Service,
                                 target::target_selector &Selector,
                                 queue_slot_ptr Slot, latency_hook OnLatency)
    : Service(std::move(Service)), Selector(Selector), Slot(std::move(Slot)),
      OnLatency(std::move(OnLatency)) {}

forward_session::~forward_session() {
  for (const auto &[Target, Attempt] : Running)
    release(Attempt.Choice);
}

void forward_session::release(const target::choice &Choice) {
  const boot_time Now = boot_clock::now();
  Selector.cancel(Choice, Now);
  Slot->limits().finish(Choice.Target, admission::target_outcome::Failed, {},
                        Now);
}

void forward_session::finishSuperseded(const running_attempt &Attempt,
                                       const request::attempt_outcome &Outcome,
                                       bool IsLatest) {
  // The latest attempt had less time than the others.
  if (IsLatest) {
    release(Attempt.Choice);
    return;
  }
  // Otherwise hedges would hide a target that never responds.
  const boot_time Now = boot_clock::now();
  target::observation Observation;
  Observation.Outcome = target::outcome::Superseded;
  Observation.Latency = Outcome.Times.Finished - Outcome.Times.Started;
  Selector.finish(Attempt.Choice, Observation, Now);
  Slot->limits().finish(Attempt.Choice.Target,
                        admission::target_outcome::Failed, {}, Now);
}

std::optional<target::choice>
forward_session::chooseWithCapacity(absl::Span<const std::string> Tried) {
  std::vector<std::string> Excluded(Tried.begin(), Tried.end());
  while (true) {
    auto Choice = Selector.choose(Service, Excluded, boot_clock::now());
    if (!Choice || Slot->limits().tryStart(Choice->Target))
      return Choice;
    Selector.cancel(*Choice, boot_clock::now());
    Excluded.push_back(Choice->Target);
  }
}

std::optional<target::choice>
forward_session::awaitCapacity(boot_time Deadline) {
  const boot_time Limit =
      std::min(Deadline, boot_clock::now() + CapacityTimeout);
  while (boot_clock::now() < Limit && !CallerDisconnected) {
    std::this_thread::sleep_for(CapacityPollInterval);
    if (auto Choice = chooseWithCapacity({}))
      return Choice;
  }
  return std::nullopt;
}

absl::StatusOr<net::target_choice>
forward_session::choose(absl::Span<const std::string> Tried, boot_time Deadline,
                        const std::function<absl::Status()> &Spend) {
  auto Choice = chooseWithCapacity(Tried);
  if (!Choice && Tried.empty())
    Choice = awaitCapacity(Deadline);
  if (!Choice)
    return common::makeError(
        error_kind::NoTargetAvailable,
        absl::StrCat("no target of ", Service, " is available"));
  absl::Status Spent = Spend();
  if (!Spent.ok()) {
    release(*Choice);
    return Spent;
  }
  net::target_choice Result{Choice->Target, Choice->Address};
  const absl::MutexLock Lock(&Mutex);
  Running.emplace(Result.Name, running_attempt{std::move(*Choice), ++Attempts});
  return Result;
}

void forward_session::finishAttempt(const std::string &Target,
                                    const request::attempt_outcome &Outcome) {
  running_attempt Attempt;
  bool IsLatest = false;
  {
    const absl::MutexLock Lock(&Mutex);
    const auto Found = Running.find(Target);
    if (Found == Running.end())
      return;
    Attempt = std::move(Found->second);
    IsLatest = Attempt.Number == Attempts;
    Running.erase(Found);
  }
  if (wasCancelled(Outcome)) {
    if (CallerDisconnected)
      release(Attempt.Choice);
    else
      finishSuperseded(Attempt, Outcome, IsLatest);
    return;
  }
  const boot_time Now = boot_clock::now();
  const target::observation Observation = observe(Outcome);
  Selector.finish(Attempt.Choice, Observation, Now);
  Slot->limits().finish(Target, limitOutcome(Outcome), Observation.Latency,
                        Now);
  if (Outcome.ok())
    OnLatency(Observation.Latency);
  else
    Slot->markFailed();
}

} // namespace magnolia::daemon
