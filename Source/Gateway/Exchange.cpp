#include "Gateway/Exchange.h"

#include <algorithm>

#include <absl/strings/str_cat.h>

#include "Gateway/RequestLog.h"
#include "Net/Event/Address.h"

namespace magnolia::gateway {

using common::error_kind;
using placement::evidence;

namespace {

constexpr std::chrono::milliseconds TargetPollPeriod{25};
/// Failed connections after which a request is given up, counted from its last
/// wait for a target.
constexpr size_t MaxUnreachable = 6;
/// Larger bodies are not copied to be sent together with the head.
constexpr size_t LargeBodyBytes = size_t{64} * 1024;

int64_t toMillis(duration Duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(Duration)
      .count();
}

bool contains(const std::vector<placement::target_key> &Keys,
              placement::target_key Key) {
  return std::find(Keys.begin(), Keys.end(), Key) != Keys.end();
}

} // namespace

void exchange::begin(gateway &Gateway,
                     const std::shared_ptr<message::server_call> &Call) {
  const std::shared_ptr<exchange> Exchange(new exchange(Gateway, Call));
  Exchange->start();
}

exchange::exchange(gateway &Gateway, std::shared_ptr<message::server_call> Call)
    : Gateway(Gateway), Call(std::move(Call)), Routes(Gateway.Routes) {}

size_t exchange::openAttempts() const {
  return static_cast<size_t>(std::count_if(
      Attempts.begin(), Attempts.end(),
      [](const attempt_ref &Attempt) { return !Attempt->Ended; }));
}

bool exchange::mayUseAnotherTarget() const {
  return SentTo.size() < Route->MaxAttempts;
}

std::vector<placement::target_key> exchange::unusableTargets() const {
  std::vector<placement::target_key> Targets =
      Gateway.Fleet->limits().exhausted(Gateway.Fleet->reachablePart(),
                                        Gateway.Loop.now());
  Gateway.addHeldBack(Service, Targets);
  const auto Full =
      Gateway.TargetBytes->withoutRoomFor(Call->Request.Body.size());
  Targets.insert(Targets.end(), Full.begin(), Full.end());
  Targets.insert(Targets.end(), Unreachable.begin(), Unreachable.end());
  return Targets;
}

placement::target_ref exchange::chooseTarget() {
  placement::placement_query Query;
  Query.Service = Service;
  Query.Repeatable = repeatable();
  Query.Domains = &Domains;
  const fleet::service_stats Stats = Gateway.Fleet->budgets().statsOf(
      fleet::usageKey(Service), Gateway.Loop.now());
  Query.FailedFraction = Stats.FailedFraction;
  const auto Budget = Gateway.Fleet->budgets().stateOf(
      fleet::usageKey(Service), Gateway.Fleet->reachablePart(),
      Gateway.Loop.now());
  const placement::probe_decision Probing = placement::decideProbing(
      Gateway.Settings.Forward.Probing,
      {.RequestRate = Stats.Rate,
       .RepeatableFraction = Gateway.RequestMix.repeatableFraction(Service),
       .BudgetPerSecond = Budget.PerSecond,
       .BudgetUsed = Budget.UsedFraction,
       .Repeatable = mayBeSentAgain(),
       .AttemptsLeft =
           mayUseAnotherTarget() ? Route->MaxAttempts - SentTo.size() : 0,
       .FirstAttempt = Attempts.empty(),
       .Instances = Gateway.Fleet->reachablePart().Instances,
       .PeakFailedFraction = Stats.PeakFailedFraction});
  Query.ProbingRate = Probing.ProbingRate;
  Query.MayProbe = Probing.MayProbe;
  Query.EarlyProbeRate = Probing.EarlyProbeRate;
  Query.WatchInterval = Probing.WatchInterval;
  if (Probing.WatchInterval)
    Query.Watched = &Gateway.watchedTargets();
  const std::vector<placement::target_key> Unusable = unusableTargets();
  std::vector<placement::target_key> Avoid = Unusable;
  placement::target_ref Chosen;
  if (mayUseAnotherTarget()) {
    Avoid.insert(Avoid.end(), SentTo.begin(), SentTo.end());
    Query.Tried = Avoid;
    Chosen =
        Gateway.TargetSet.choose(Query, Gateway.Loop.now(), Gateway.Random);
  }
  if (Chosen || RefusedBy.empty())
    return Chosen;
  // Of the targets it was sent to, only those that refused to run the request
  // may be tried again.
  Avoid = Unusable;
  for (const placement::target_ref &Target :
       Gateway.TargetSet.targetsOf(Service))
    if (!contains(RefusedBy, Target->Key))
      Avoid.push_back(Target->Key);
  Query.Tried = Avoid;
  return Gateway.TargetSet.choose(Query, Gateway.Loop.now(), Gateway.Random);
}

void exchange::tryNext() {
  if (Done)
    return;
  if (!Attempts.empty() && quarantinedUntil()) {
    if (openAttempts() == 0)
      giveUp(error_kind::RequestQuarantined, "targets end under this request");
    return;
  }
  if (timeLeft() < Gateway.Settings.Forward.MinTimeLeft) {
    if (openAttempts() == 0)
      onDeadline();
    return;
  }
  const placement::target_ref Target = chooseTarget();
  if (Target) {
    if (Rank)
      Gateway.Queues.onTargetFound(Service);
    startAttempt(Target);
    return;
  }
  if (openAttempts() > 0)
    return;
  waitForTarget();
}

boot_time exchange::waitsUntil() const {
  return Call->Arrived + Gateway.Settings.Forward.MaxTargetWait;
}

bool exchange::allTargetsArePaused() const {
  return Gateway.takesRequestsFrom(Service, Domains) > waitsUntil();
}

std::vector<placement::target_key> exchange::targetsWithoutRoom() const {
  auto Keys = Gateway.TargetBytes->withoutRoomFor(Call->Request.Body.size());
  std::erase_if(Keys, [&](placement::target_key Key) {
    const auto Target = Gateway.TargetSet.find(Key);
    return !Target || Target->Entry.Service != Service ||
           !Target->isAvailable() ||
           !Domains.allows(Target->Entry.FailureDomain);
  });
  return Keys;
}

void exchange::giveUpWaiting() {
  const auto Full = targetsWithoutRoom();
  if (Full.empty()) {
    giveUp(error_kind::NoTargetAvailable, "no target takes requests");
    return;
  }
  ++Gateway.Counters.RefusedForTargetBytes;
  giveUp(error_kind::TargetBytesUsedUp,
         absl::StrCat("requests at ", Full.size(),
                      " targets leave no room for ", Call->Request.Body.size(),
                      " of ", Gateway.TargetBytes->limit().value_or(0),
                      " bytes"));
}

void exchange::waitForTarget() {
  if (giveUpIfEvacuated())
    return;
  const boot_time Now = Gateway.Loop.now();
  if (Now >= waitsUntil() || allTargetsArePaused()) {
    giveUpWaiting();
    return;
  }
  const auto Full = targetsWithoutRoom();
  if (!Full.empty() && !std::exchange(WaitsForBytes, true)) {
    ++Gateway.Counters.HeldForTargetBytes;
    logBodyHeld({Id, Service, Call->Request.Body.size(), Full.size(),
                 Gateway.TargetBytes->limit().value_or(0), timeLeft()});
  }
  // A body that finds no room says nothing about the room for other requests,
  // so it keeps its turn.
  if (Rank && Attempts.empty() && Full.empty()) {
    waitInQueue();
    return;
  }
  Unreachable.clear();
  PauseTimer = Gateway.Loop.callAfter(
      TargetPollPeriod, [Self = shared_from_this()] { Self->tryNext(); });
}

void exchange::waitInQueue() {
  Gateway.Queues.onTargetMissing(Service);
  leaveQueue(admission::slot_use::Failed);
  PauseTimer = Gateway.Loop.callAfter(
      waitsUntil() - Gateway.Loop.now(),
      [Self = shared_from_this()] { Self->giveUpWaiting(); });
  requestTurn();
}

void exchange::startAttempt(const placement::target_ref &Target) {
  const auto Attempt = std::make_shared<attempt>();
  Attempt->Target = Target;
  Attempt->StartedAt = Gateway.Loop.now();
  Gateway.Fleet->limits().tryUse(Target->Key, Gateway.Fleet->reachablePart(),
                                 Gateway.Loop.now());
  Gateway.ColdTargets.countUse(Target->Key, Gateway.Loop.now());
  Attempt->BodyUse =
      Gateway.TargetBytes->add(Target->Key, Call->Request.Body.size());
  Attempts.push_back(Attempt);
  // On a kept connection its earlier refusal by this target may arrive once
  // more, and could not be told from the response to this attempt.
  if (!contains(RefusedBy, Target->Key))
    Attempt->Connection = Gateway.Pool.take(Target);
  logAttempt(*Attempt, Attempt->Connection != nullptr);
  if (Attempt->Connection) {
    send(Attempt);
    return;
  }
  connect(Attempt);
}

void exchange::logAttempt(const attempt &Attempt, bool KeptConnection) const {
  logAttemptStart(
      {Id, Reason, Service, *Attempt.Target, KeptConnection, timeLeft(),
       Gateway.Loop.now(), Gateway.TargetSet.isPreferred(*Attempt.Target),
       Gateway.TargetSet.knownRequestsAt(*Attempt.Target, Gateway.Loop.now())});
}

void exchange::connect(const attempt_ref &Attempt) {
  Attempt->Connection = Gateway.connectTo(*Attempt->Target);
  if (!Attempt->Connection) {
    onConnectionLost(Attempt);
    return;
  }
  Attempt->Connection->setHooks(hooksOf(Attempt));
  Attempt->Timers.push_back(
      Gateway.Loop.callAfter(Gateway.Settings.Forward.ConnectTimeout,
                             [Self = shared_from_this(), Attempt] {
                               if (!Attempt->Sent && !Attempt->Ended)
                                 Self->onConnectionLost(Attempt);
                             }));
}

message::client_hooks exchange::hooksOf(const attempt_ref &Attempt) {
  const auto Self = shared_from_this();
  message::client_hooks Hooks;
  Hooks.OnConnected = [Self, Attempt] {
    if (!Attempt->Ended)
      Self->onConnected(Attempt);
  };
  Hooks.OnConnectFailed = [Self, Attempt] {
    if (!Attempt->Ended)
      Self->onConnectionLost(Attempt);
  };
  Hooks.OnResponse = [Self, Attempt](message::response Response) {
    if (!Attempt->Ended)
      Self->onResponse(Attempt, std::move(Response));
  };
  Hooks.OnFailure = [Self, Attempt](message::exchange_failure Failure) {
    if (!Attempt->Ended)
      Self->onFailure(Attempt, Failure);
  };
  return Hooks;
}

void exchange::onConnected(const attempt_ref &Attempt) {
  if (!Attempt->Target->Evacuated) {
    send(Attempt);
    return;
  }
  // The evacuation began while it connected.
  Reason = "evacuated";
  endAttempt(Attempt, false);
  tryNext();
}

void exchange::onConnectionLost(const attempt_ref &Attempt) {
  observe(*Attempt, evidence::Unreachable);
  Unreachable.push_back(Attempt->Target->Key);
  Reason = "unreachable";
  endAttempt(Attempt, false);
  if (openAttempts() > 0)
    return;
  if (Unreachable.size() >= MaxUnreachable) {
    retryOrFail(error_kind::TargetUnreachable, "no target could be reached");
    return;
  }
  tryNext();
}

std::string exchange::requestHead(const attempt &Attempt) const {
  const header_names &HeaderNames = Gateway.Environment.HeaderNames;
  const message::request &Received = Call->Request;
  message::request Request;
  Request.Method = Received.Method;
  Request.Target = Received.Target;
  Request.Headers = Received.Headers;
  message::removeHopByHopHeaders(Request.Headers);
  for (const std::string *Own :
       {&HeaderNames.Key, &HeaderNames.Workspace, &HeaderNames.DeadlineMs,
        &HeaderNames.ExpectTarget})
    Request.Headers.remove(*Own);
  const duration Left = timeLeft() - Gateway.Settings.Forward.NetworkAllowance;
  Request.Headers.add(HeaderNames.DeadlineMs,
                      absl::StrCat(std::max<int64_t>(toMillis(Left), 1)));
  Request.Headers.add(HeaderNames.ExpectTarget, Attempt.Target->Entry.Id);
  if (Workspace != nullptr)
    Request.Headers.add(HeaderNames.Workspace, Workspace->Name);
  return message::serializeHead(Request, Received.Body.size());
}

void exchange::send(const attempt_ref &Attempt) {
  const boot_time Now = Gateway.Loop.now();
  ++Gateway.Counters.Sends;
  if (Gateway.TargetSet.isPreferred(*Attempt->Target))
    ++Gateway.Counters.PreferredSends;
  Attempt->Sent = true;
  Attempt->SentAt = Now;
  Attempt->Target->LastUsed = Now;
  Gateway.ColdTargets.countUse(Attempt->Target->Key, Now);
  ++Attempt->Target->OwnInFlight;
  Attempt->Queued = Gateway.TargetSet.isOverCapacity(*Attempt->Target, Now);
  if (!contains(SentTo, Attempt->Target->Key))
    SentTo.push_back(Attempt->Target->Key);
  MayHaveRun = true;
  Attempt->Connection->setHooks(hooksOf(Attempt));
  startTimers(Attempt);
  // In one piece, unless the body is large.
  const std::string &Body = Call->Request.Body;
  const bool OmitsBody = Call->Request.Method == "HEAD";
  std::string Head = requestHead(*Attempt);
  if (Body.size() >= LargeBodyBytes)
    Attempt->Connection->send(Head, Body, OmitsBody);
  else
    Attempt->Connection->send(Head.append(Body), OmitsBody);
}

void exchange::startTimers(const attempt_ref &Attempt) {
  const forward_settings &Forward = Gateway.Settings.Forward;
  const auto Self = shared_from_this();
  const auto AddTimer = [&](duration Delay, std::function<void()> OnDue) {
    Attempt->Timers.push_back(
        Gateway.Loop.callAfter(Delay, [Attempt, OnDue = std::move(OnDue)] {
          if (!Attempt->Ended)
            OnDue();
        }));
  };
  const auto PartOfObjective = [&](double Fraction) {
    return std::chrono::duration_cast<duration>(Route->LatencyObjective *
                                                Fraction);
  };
  AddTimer(Forward.AcceptedAfter,
           [Self, Attempt] { Self->observe(*Attempt, evidence::Accepted); });
  if (!Attempt->Queued)
    AddTimer(PartOfObjective(Gateway.TargetSet.targetsHang()
                                 ? Forward.StalledAtFractionIfHanging
                                 : Forward.StalledAtFraction),
             [Self, Attempt] { Self->onStalled(Attempt); });
  if (Gateway.SecondSends->isLimited())
    startHedgeTimer(Attempt);
  else if (repeatable() && !Hedged)
    AddTimer(PartOfObjective(Forward.HedgeAtFraction),
             [Self] { Self->maybeHedge(); });
}

void exchange::startHedgeTimer(const attempt_ref &Attempt) {
  const auto Delay = Gateway.SecondSends->delayFor(latencyKey());
  if (Hedged || !Delay)
    return;
  Gateway.SecondSends->onTimedSend(latencyKey());
  Attempt->Timers.push_back(
      Gateway.Loop.callAfter(*Delay, [Self = shared_from_this(), Attempt] {
        if (!Attempt->Ended)
          Self->hedgeWithinLimit(*Attempt);
      }));
}

void exchange::onStalled(const attempt_ref &Attempt) {
  Attempt->Stalled = true;
  observe(*Attempt, evidence::Stalled);
}

void exchange::maybeHedge() {
  if (Hedged || !mayUseAnotherTarget())
    return;
  if (!tryExtraAttempt("second_send"))
    return;
  Hedged = true;
  tryNext();
}

void exchange::hedgeWithinLimit(const attempt &Late) {
  late_request Request;
  Request.Id = Id;
  Request.Key = latencyKey();
  Request.Repeatable = repeatable();
  Request.HasOtherTarget =
      !Hedged && mayUseAnotherTarget() && hasUntriedTarget();
  Request.Waited = Gateway.Loop.now() - Late.SentAt;
  Request.TimeLeft = timeLeft();
  if (!Gateway.SecondSends->tryStart(Request))
    return;
  Hedged = true;
  Reason = "second_send";
  const size_t Before = Attempts.size();
  tryNext();
  if (Attempts.size() > Before)
    SecondSend = Attempts[Before];
}

fleet::request_rank exchange::rankForBudget() const {
  if (!Rank)
    return {};
  return {*Rank, Routes->ranks().countOf(Service)};
}

bool exchange::tryExtraAttempt(std::string_view Why) {
  const fleet::budget_decision Decision =
      Gateway.Fleet->budgets().tryExtraAttempt(
          fleet::usageKey(Service), Gateway.Fleet->reachablePart(),
          Gateway.Loop.now(), rankForBudget());
  logExtraAttempt({Id, Why, Service, Decision});
  if (!Decision.Use.Granted) {
    ++Gateway.Counters.ExtraAttemptsRefused;
    return false;
  }
  ++Gateway.Counters.ExtraAttempts;
  Reason = Why;
  return true;
}

} // namespace magnolia::gateway
