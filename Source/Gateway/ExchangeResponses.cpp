#include <algorithm>
#include <utility>

#include <absl/strings/str_cat.h>
#include <nlohmann/json.hpp>

#include "Common/StringView.h"
#include "Gateway/Exchange.h"
#include "Gateway/RequestFingerprint.h"
#include "Gateway/RequestLog.h"
#include "Gateway/TargetFeedback.h"

namespace magnolia::gateway {

using common::error_kind;
using placement::evidence;

namespace {

constexpr int FirstSuccess = 200;
constexpr int FirstRedirect = 300;
constexpr int FirstServerError = 500;
constexpr int MisdirectedRequest = 421;
constexpr int GatewayTimeout = 504;
/// A target that gives a request up this early counts as giving it up at its
/// deadline.
constexpr std::chrono::milliseconds EarlyGiveUp{15};
bool isSuccess(int Status) {
  return Status >= FirstSuccess && Status < FirstRedirect;
}

std::string formatSeconds(duration Duration) {
  const double Seconds = std::chrono::duration<double>(Duration).count();
  constexpr double Milli = 1000;
  return absl::StrCat(std::max(1.0, Seconds * Milli) / Milli);
}

} // namespace

void exchange::observe(const attempt &Attempt, evidence Evidence) {
  Gateway.observe(Id, *Attempt.Target, Evidence,
                  Attempt.Sent ? Attempt.SentAt : Attempt.StartedAt);
}

void exchange::endAttempt(const attempt_ref &Attempt, bool Reuse) {
  if (Attempt->Ended)
    return;
  Attempt->Ended = true;
  for (const timer_id Timer : Attempt->Timers)
    Gateway.Loop.cancel(Timer);
  Attempt->Timers.clear();
  Attempt->BodyUse.reset();
  if (Attempt->Sent)
    --Attempt->Target->OwnInFlight;
  const auto Connection = std::move(Attempt->Connection);
  Attempt->Connection = nullptr;
  if (!Connection)
    return;
  if (Reuse) {
    Gateway.Pool.release(Attempt->Target, Connection);
    return;
  }
  Connection->close();
  Connection->setHooks({});
  Gateway.Loop.retire(Connection);
}

void exchange::onResponse(const attempt_ref &Attempt,
                          message::response Response) {
  const header_names &HeaderNames = Gateway.Environment.HeaderNames;
  const auto ResponseId = Response.Headers.find(HeaderNames.RequestId);
  if (ResponseId && *ResponseId != Id) {
    // An extra response to an earlier request; the one to this request may
    // follow.
    Attempt->Connection->keepWaiting();
    return;
  }
  const bool SaysNotRun =
      Response.Headers.find(HeaderNames.NotRun).has_value() ||
      Response.Status == MisdirectedRequest;
  if (SaysNotRun && !ResponseId) {
    // It may be a refusal of another request, while this one runs.
    observe(*Attempt, evidence::Broken);
    endAttempt(Attempt, false);
    retryOrFail(error_kind::AnswerMismatched, "a refusal without an id");
    return;
  }
  const target_feedback Feedback = feedbackOf(Response, HeaderNames);
  if (Feedback.Draining)
    Gateway.onTargetDraining(Id, *Attempt->Target);
  Gateway.onTargetLimit(*Attempt->Target, Feedback.LimitPerSecond);
  Gateway.onTargetWarmup(*Attempt->Target, Feedback.WarmupLeft);
  Gateway.onTargetLoad(Id, *Attempt->Target, Feedback);
  if (Feedback.Pause)
    pauseTarget(*Attempt, *Feedback.Pause);
  if (SaysNotRun) {
    // What a target says when to come back is not a sign that it is gray.
    if (!Feedback.Pause)
      observe(*Attempt, evidence::Refused);
    onNotRun(Attempt);
    return;
  }
  Gateway.onCompleted(fingerprint());
  const bool Signed = Response.Headers.find(HeaderNames.Signature).has_value();
  const bool Encoded = Response.Headers.find("content-encoding").has_value();
  if (isSuccess(Response.Status) && (!Signed || !ResponseId || Encoded)) {
    observe(*Attempt, evidence::Broken);
    endAttempt(Attempt, false);
    retryOrFail(error_kind::AnswerMismatched, "the answer is not the target's");
    return;
  }
  if (Response.Status >= FirstServerError) {
    if (!gaveUpAtDeadline(Response))
      observe(*Attempt, evidence::Failed);
    else if (Attempt->Stalled)
      observe(*Attempt, evidence::TimedOut);
    endAttempt(Attempt, true);
    onTargetError(std::move(Response));
    return;
  }
  observe(*Attempt,
          Attempt->Stalled ? evidence::SucceededLate : evidence::Succeeded);
  endAttempt(Attempt, true);
  Answered = Attempt;
  forwardResponse(std::move(Response));
}

uint64_t exchange::fingerprint() {
  if (!Fingerprint)
    Fingerprint = fingerprintOf(
        Call->Request, Workspace != nullptr ? Workspace->Name : std::string());
  return *Fingerprint;
}

bool exchange::gaveUpAtDeadline(const message::response &Response) const {
  // The target was told a deadline that is earlier by the allowance.
  return Response.Status == GatewayTimeout &&
         timeLeft() < Gateway.Settings.Forward.NetworkAllowance + EarlyGiveUp;
}

void exchange::onTargetError(message::response Response) {
  const bool CanRetry = repeatable() && mayUseAnotherTarget() &&
                        timeLeft() > Gateway.Settings.Forward.MinTimeLeft;
  const bool Waits = openAttempts() > 0;
  if (!Waits && !(CanRetry && tryExtraAttempt("retry"))) {
    forwardResponse(std::move(Response));
    return;
  }
  TargetError = std::move(Response);
  if (!Waits)
    tryNext();
}

void exchange::pauseTarget(const attempt &Attempt, duration Pause) {
  placement::target_set::pause(*Attempt.Target, Pause, Gateway.Loop.now());
  logTargetPause(Id, *Attempt.Target, Pause);
}

void exchange::onNotRun(const attempt_ref &Attempt) {
  ++Gateway.Counters.RefusedByTargets;
  RefusedBy.push_back(Attempt->Target->Key);
  endAttempt(Attempt, true);
  MayHaveRun = RefusedBy.size() < SentTo.size();
  if (openAttempts() > 0)
    return;
  const request::after_refusal Next = nextAfterRefusal();
  const bool MayRepeat = Next != request::after_refusal::GiveUp &&
                         !allTargetsArePaused() &&
                         tryExtraAttempt("after_refusal");
  if (!MayRepeat) {
    giveUp(error_kind::TargetRefused, "targets refuse requests");
    return;
  }
  if (Next == request::after_refusal::SendNow) {
    tryNext();
    return;
  }
  PauseTimer = Gateway.Loop.callAfter(
      refusalBackoff(), [Self = shared_from_this()] { Self->tryNext(); });
}

request::after_refusal exchange::nextAfterRefusal() const {
  request::refused_request Refused;
  Refused.Refusals = RefusedBy.size();
  Refused.LoadIsTold = Gateway.TargetSet.isDivided(Service);
  Refused.HasRoom =
      !Refused.LoadIsTold ||
      !Gateway.TargetSet.roomOf(Service, Gateway.Loop.now()).isUsedUp();
  Refused.YieldsRoom = Rank && *Rank > 0 && Gateway.Queues.isShort(Service);
  Refused.HasUntriedTarget = mayUseAnotherTarget() && hasUntriedTarget();
  return request::decideAfterRefusal({}, Refused);
}

bool exchange::giveUpIfEvacuated() {
  if (!Gateway.TargetSet.isEvacuated(Service, Domains))
    return false;
  Gateway.Evacuation.onRefused(Service);
  giveUp(error_kind::ServiceEvacuated, "all targets are evacuated");
  return true;
}

void exchange::giveUp(error_kind Kind, std::string_view Detail) {
  if (TargetError) {
    forwardResponse(std::move(*TargetError));
    return;
  }
  const boot_time Now = Gateway.Loop.now();
  const auto Until = Gateway.TargetSet.pausedUntil(Service, Now, Domains);
  refuse(MayHaveRun ? error_kind::TargetBroken : Kind, Detail,
         Until ? std::optional<duration>(*Until - Now) : std::nullopt);
}

bool exchange::hasUntriedTarget() const {
  std::vector<placement::target_key> Excluded = SentTo;
  Gateway.addHeldBack(Service, Excluded);
  const auto Full = targetsWithoutRoom();
  Excluded.insert(Excluded.end(), Full.begin(), Full.end());
  const auto &Targets = Gateway.TargetSet.targetsOf(Service);
  return std::any_of(Targets.begin(), Targets.end(),
                     [&](const placement::target_ref &Target) {
                       return Target->isAvailable() &&
                              Domains.allows(Target->Entry.FailureDomain) &&
                              Gateway.Loop.now() >= Target->PausedUntil &&
                              std::find(Excluded.begin(), Excluded.end(),
                                        Target->Key) == Excluded.end();
                     });
}

duration exchange::refusalBackoff() const {
  // Targets that shed load do so for longer than one delay, and each attempt
  // uses up the fleet's budget of extra attempts.
  duration Pause = Gateway.Settings.Forward.RefusalBackoff;
  for (size_t Count = SentTo.size(); Count < RefusedBy.size(); ++Count)
    Pause *= 2;
  return std::min<duration>(Pause, Route->LatencyObjective / 2);
}

void exchange::onFailure(const attempt_ref &Attempt,
                         message::exchange_failure Failure) {
  if (Failure == message::exchange_failure::Broken)
    Gateway.onConnectionLost({Id, Attempt->Target, Attempt->SentAt,
                              fingerprint(), mayBeSentAgain()});
  else
    observe(*Attempt, evidence::Broken);
  endAttempt(Attempt, false);
  switch (Failure) {
  case message::exchange_failure::Broken:
    retryOrFail(error_kind::TargetBroken, "the target ended the connection");
    return;
  case message::exchange_failure::Malformed:
    retryOrFail(error_kind::TargetBroken, "the target sent no answer");
    return;
  case message::exchange_failure::TooLarge:
    retryOrFail(error_kind::AnswerTooLarge, "the answer is too large");
    return;
  }
}

void exchange::retryOrFail(error_kind Kind, std::string_view Detail) {
  if (Done || openAttempts() > 0)
    return;
  const bool CanRetry = repeatable() && MayHaveRun && mayUseAnotherTarget() &&
                        timeLeft() > Gateway.Settings.Forward.MinTimeLeft;
  if (CanRetry && tryExtraAttempt("retry")) {
    tryNext();
    return;
  }
  if (TargetError) {
    forwardResponse(std::move(*TargetError));
    return;
  }
  if (Kind == error_kind::TargetUnreachable && MayHaveRun)
    Kind = error_kind::TargetBroken;
  else if (Kind == error_kind::TargetUnreachable)
    Kind = error_kind::NoTargetAvailable;
  refuse(Kind, Detail);
}

void exchange::onDeadline() {
  if (Done)
    return;
  for (const attempt_ref &Attempt : Attempts)
    if (!Attempt->Ended && Attempt->Stalled)
      observe(*Attempt, evidence::TimedOut);
  if (TargetError) {
    forwardResponse(std::move(*TargetError));
    return;
  }
  if (MayHaveRun)
    refuse(error_kind::DeadlineExceeded, "no target answered in time");
  else
    refuse(error_kind::NoTargetAvailable, "no target took the request in time");
}

void exchange::onInstanceEnd() {
  if (Done)
    return;
  if (TargetError) {
    forwardResponse(std::move(*TargetError));
    return;
  }
  if (MayHaveRun)
    refuse(error_kind::InstanceEnded, "this instance ends before the target");
  else
    refuse(error_kind::InstanceLeaving,
           "this instance ends, no target has run it");
}

void exchange::logOutcome(std::string_view Outcome, int Status,
                          std::string_view Detail) {
  const duration Took = Gateway.Loop.now() - Call->Arrived;
  outcome_record Line;
  Line.Id = Id;
  Line.Outcome = Outcome;
  Line.Status = Status;
  Line.Detail = Detail;
  Line.Route = Route != nullptr ? std::string_view(Route->Name) : "";
  Line.Service = Service;
  Line.Workspace =
      Workspace != nullptr ? std::string_view(Workspace->Name) : "";
  Line.ConfigurationVersion = Routes ? Routes->version() : 0;
  Line.StoreEra = Gateway.storeEra();
  Line.Sends = Attempts.size();
  Line.Took = Took;
  logRequestOutcome(Line);
  std::string_view Kind = "none";
  if (Route != nullptr)
    Kind = repeatable() ? "repeatable" : "at_most_once";
  Gateway.Metrics.countRequest(
      Kind, Outcome,
      std::chrono::duration_cast<std::chrono::microseconds>(Took));
}

void exchange::refuse(error_kind Kind, std::string_view Detail,
                      std::optional<duration> RetryAfter) {
  const common::error_response &ErrorResponse = common::responseFor(Kind);
  message::response Response;
  Response.Status = ErrorResponse.HttpStatus;
  if (!RetryAfter && ErrorResponse.RetryAfter)
    RetryAfter = *ErrorResponse.RetryAfter;
  if (RetryAfter && ErrorResponse.Execution == common::execution::NotRun)
    Response.Headers.add("Retry-After", formatSeconds(*RetryAfter));
  if (!Id.empty())
    Response.Headers.add(Gateway.Environment.HeaderNames.RequestId, Id);
  Response.Headers.add("Content-Type", "application/json");
  Response.Body =
      nlohmann::json({{"error",
                       {{"kind", ErrorResponse.Name},
                        {"ran", common::nameOf(ErrorResponse.Execution)},
                        {"detail", Detail}}}})
          .dump();
  logOutcome(ErrorResponse.Name, ErrorResponse.HttpStatus, Detail);
  Call->respond(std::move(Response));
  finish();
}

void exchange::forwardResponse(message::response Response) {
  logOutcome("answered", Response.Status, "");
  ReturnedSuccess = isSuccess(Response.Status);
  message::removeHopByHopHeaders(Response.Headers);
  Call->OnAbandoned = [&Owner = Gateway,
                       Id = Id](const message::abandoned_response &Abandoned) {
    onAbandoned(Owner, Id, Abandoned);
  };
  Call->respond(std::move(Response));
  finish();
}

void exchange::onAbandoned(gateway &Gateway, std::string_view Id,
                           const message::abandoned_response &Response) {
  ++Gateway.Counters.AbandonedResponses;
  logAbandoned({Id, Response, Gateway.Unfetched->size(), *Gateway.Memory});
}

void exchange::settleSecondSend() {
  if (!Answered || !Gateway.SecondSends->isLimited())
    return;
  const boot_time Now = Gateway.Loop.now();
  Gateway.SecondSends->addLatency(latencyKey(), Now - Answered->SentAt);
  if (Answered == SecondSend)
    Gateway.SecondSends->onWon();
  for (const attempt_ref &Attempt : Attempts) {
    if (Attempt->Ended || !Attempt->Sent)
      continue;
    Gateway.SecondSends->onCancelled();
    // It would have taken longer still; a later send shows nothing.
    if (Attempt->SentAt < Answered->SentAt)
      Gateway.SecondSends->addLatency(latencyKey(), Now - Attempt->SentAt);
  }
}

void exchange::countFailure() {
  if (ReturnedSuccess || Service.empty())
    return;
  fleet::fleet_budgets &Budgets = Gateway.Fleet->budgets();
  const uint32_t Key = fleet::usageKey(Service);
  if (NotAdmitted)
    Budgets.countRefused(
        Key,
        placement::watchesTargets(Gateway.Settings.Forward.Probing,
                                  Gateway.Fleet->reachablePart().Instances),
        Gateway.Loop.now());
  else
    Budgets.countFailed(Key, Gateway.Loop.now());
}

void exchange::finish() {
  if (Done)
    return;
  Done = true;
  countFailure();
  Gateway.Loop.cancel(DeadlineTimer);
  Gateway.Loop.cancel(PauseTimer);
  settleSecondSend();
  for (const attempt_ref &Attempt : Attempts) {
    // A faster response of another target must not hide what this one does.
    if (!Attempt->Ended && Attempt->Connection &&
        Attempt->Connection->isOverflowing())
      observe(*Attempt, evidence::Broken);
    endAttempt(Attempt, false);
  }
  leaveQueue(ReturnedSuccess ? admission::slot_use::Completed
                             : admission::slot_use::Failed);
  // The hooks own this object; it is kept until no hook runs.
  for (auto *Hook : {&Call->OnDisconnect, &Call->OnServerEnd})
    Gateway.Loop.retire(
        std::make_shared<std::function<void()>>(std::exchange(*Hook, nullptr)));
}

} // namespace magnolia::gateway
