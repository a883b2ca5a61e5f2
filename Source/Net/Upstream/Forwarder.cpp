#include "Net/Upstream/Forwarder.h"

#include <atomic>
#include <utility>

#include <absl/time/time.h>

#include "Common/StringView.h"

namespace magnolia::net {

using common::boot_clock;
using common::boot_time;
using common::error_kind;
using request::attempt_step;

void forwarder::signal::raise() {
  const absl::MutexLock Lock(&Mutex);
  Raised = true;
  Changed.SignalAll();
}

bool forwarder::signal::await(boot_time When) {
  const absl::MutexLock Lock(&Mutex);
  while (!Raised) {
    const boot_time Now = boot_clock::now();
    if (Now >= When)
      break;
    Changed.WaitWithTimeout(&Mutex, absl::FromChrono(When - Now));
  }
  Raised = false;
  return CallerDisconnected;
}

forwarder::forwarder(upstream_pool &Pool, upstream_request Request,
                     request::attempt_plan Plan, forward_hooks Hooks)
    : Pool(Pool), Request(std::move(Request)), Plan(std::move(Plan)),
      Hooks(std::move(Hooks)) {}

void forwarder::callerDisconnected() {
  {
    const absl::MutexLock Lock(&Signal->Mutex);
    Signal->CallerDisconnected = true;
  }
  Signal->raise();
}

forward_result forwarder::run() {
  while (true) {
    const attempt_step Step = Plan.next(boot_clock::now());
    switch (Step.Kind) {
    case attempt_step::kind::Finish:
      return finish();
    case attempt_step::kind::Start:
      startAttempt(Step);
      break;
    case attempt_step::kind::Wait:
      if (Signal->await(Step.WakeAt))
        Plan.callerDisconnected();
      collectResponses();
      break;
    }
    if (Winner)
      return finish();
  }
}

void forwarder::startAttempt(const attempt_step &Step) {
  // A body that was partly read cannot be sent again.
  if (BodyStarted->load()) {
    Plan.noTarget(error_kind::NoTargetAvailable);
    return;
  }
  const auto Choice = Hooks.Choose(Tried);
  if (!Choice.ok()) {
    Detail = std::string(Choice.status().message());
    Plan.noTarget(common::kindOf(Choice.status()));
    return;
  }
  upstream_request AttemptRequest = Request;
  AttemptRequest.Deadline = Step.AttemptDeadline;
  AttemptRequest.ReadBody = trackedBody();
  AttemptRequest.Connection = Step.ConnectionReuseAllowed
                                  ? connection_choice::ReuseAllowed
                                  : connection_choice::FreshOnly;
  stream_hooks Events;
  Events.HeadOrEnd = [Signal = Signal] { Signal->raise(); };
  if (Hooks.Ended)
    Events.Ended = [Ended = Hooks.Ended, Name = Choice->Name](
                       const auto &Outcome) { Ended(Name, Outcome); };
  Tried.push_back(Choice->Name);
  Plan.started(boot_clock::now());
  Streams.emplace_back(Pool.start(std::move(AttemptRequest), Choice->Address,
                                  std::move(Events)));
}

body_reader forwarder::trackedBody() {
  if (!Request.ReadBody)
    return nullptr;
  return [Read = Request.ReadBody, Started = BodyStarted](auto Buffer) {
    Started->store(true);
    return Read(Buffer);
  };
}

void forwarder::collectResponses() {
  const boot_time Now = boot_clock::now();
  for (size_t Number = 0; Number < Streams.size() && !Winner; ++Number) {
    auto &Stream = Streams[Number];
    if (!Stream || !Stream->hasHeadOrEnd())
      continue;
    auto Received = Stream->awaitHead(Now);
    if (Received.ok() && Plan.commit(Number)) {
      Head = *std::move(Received);
      Winner = Number;
      continue;
    }
    Detail = std::string(Received.status().message());
    if (const auto Outcome = Stream->awaitOutcome(Now))
      Plan.finished(Number, *Outcome);
    Stream.reset();
  }
}

forward_result forwarder::finish() {
  forward_result Result;
  Result.Verdict = Plan.verdict();
  Result.Detail = Detail;
  if (!Tried.empty())
    Result.Target = Tried.back();
  if (Winner) {
    Result.Response.emplace(*std::move(Streams[*Winner]));
    Result.Head = std::move(Head);
    Result.Target = Tried[*Winner];
  }
  // Destroying the streams of the other attempts cancels them.
  Streams.clear();
  return Result;
}

} // namespace magnolia::net
