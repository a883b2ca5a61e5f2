#include <absl/strings/str_cat.h>

#include "Common/Number.h"
#include "Common/StringView.h"
#include "Gateway/Exchange.h"
#include "Gateway/RequestLog.h"

// From the arrival of a request to its turn: what is refused before a target is
// chosen, and the wait in front of a service that is short of room.

namespace magnolia::gateway {

using common::error_kind;

namespace {

/// May have a fraction.
using milliseconds = std::chrono::duration<double, std::milli>;

/// A caller that would wait longer counts as waiting this long.
constexpr auto LongestWait = common::LongestDuration;

/// When a caller whose request got no turn may come back.
std::optional<duration> retryAfterOf(const admission::turn_inputs &Inputs) {
  constexpr std::chrono::milliseconds Longest{5000};
  if (Inputs.ExpectedWait <= duration::zero())
    return std::nullopt;
  return std::min<duration>(Inputs.ExpectedWait, Longest);
}

} // namespace

void exchange::start() {
  message::request &Request = Call->Request;
  const header_names &HeaderNames = Gateway.Environment.HeaderNames;
  Id = std::string(Request.Headers.find(HeaderNames.RequestId).value_or(""));
  if (!Routes || !Gateway.Evacuation.isKnown()) {
    refuse(error_kind::ConfigurationMissing, "no configuration was read yet");
    return;
  }
  const std::string_view Host = Request.Headers.find("host").value_or("");
  Route = Routes->find(Host, Request.path());
  if (Route == nullptr) {
    refuse(error_kind::RouteNotFound, "no route has this host and path");
    return;
  }
  if (Route->Closed) {
    refuse(error_kind::ConfigurationUnreadable, "the route cannot be read");
    return;
  }
  chooseService();
  if (Service.empty()) {
    refuse(error_kind::NoTargetAvailable, "the route has no service");
    return;
  }
  if (!readDeadline() || !checkShutdown() || !checkMemory() ||
      !checkTargetBytes() || !checkKey() || !checkPlaces() || !admit() ||
      !checkQuarantine())
    return;
  const auto Self = shared_from_this();
  Call->OnDisconnect = [Self] {
    ++Self->Gateway.Counters.CallersDisconnected;
    Self->logOutcome("caller_gone", 0, "the caller left");
    Self->finish();
  };
  Call->OnServerEnd = [Self] { Self->onInstanceEnd(); };
  DeadlineTimer =
      Gateway.Loop.callAfter(timeLeft(), [Self] { Self->onDeadline(); });
  takeRank();
  requestTurn();
}

void exchange::takeRank() {
  if (!Gateway.waitsByRank(Service))
    return;
  Rank = Routes->ranks().rankOf(Service, *Route, Workspace);
  Gateway.Fleet->budgets().countRequest(fleet::rankKey(Service, *Rank),
                                        Gateway.Loop.now());
}

void exchange::requestTurn() {
  if (!Rank) {
    tryNext();
    return;
  }
  const auto Submitted = Gateway.Queues.submit(
      Service, Routes->ranks().countOf(Service),
      {.Workspace = Workspace != nullptr ? std::string_view(Workspace->Name)
                                         : std::string_view(),
       .Rank = *Rank,
       .Deadline = RespondBy,
       .DeadlineIfShort =
           std::min(RespondBy, Call->Arrived + Route->LatencyObjective)},
      [Self = shared_from_this()](admission::ticket Turn,
                                  const absl::Status &Decision) {
        Self->Ticket = Turn;
        Self->onTurn(Decision);
      });
  if (!Submitted.ok())
    onTurn(Submitted.status());
  else if (!HasTurn && !Done && !Ticket)
    Ticket = *Submitted;
}

void exchange::onTurn(const absl::Status &Decision) {
  Gateway.Loop.cancel(PauseTimer);
  if (Decision.ok()) {
    HasTurn = true;
    tryNext();
    return;
  }
  Ticket.reset();
  const admission::turn_inputs Inputs = Gateway.Queues.inputsOf(Service, *Rank);
  logTurnRefused({Id, Service, Decision.message(), Inputs, timeLeft()});
  refuse(common::kindOf(Decision), common::toStd(Decision.message()),
         retryAfterOf(Inputs));
}

void exchange::leaveQueue(admission::slot_use Use) {
  const auto Left = std::exchange(Ticket, std::nullopt);
  if (!Left)
    return;
  if (std::exchange(HasTurn, false))
    Gateway.Queues.release(Service, *Left, Use);
  else
    Gateway.Queues.cancel(Service, *Left);
}

void exchange::chooseService() {
  const std::string *Chosen = Gateway.Splits.next(*Route, Gateway.Random);
  if (Chosen == nullptr)
    return;
  Service = *Chosen;
  Gateway.RequestMix.count(Service, mayBeSentAgain(), Gateway.Loop.now());
  Gateway.Fleet->budgets().countRequest(fleet::usageKey(Service),
                                        Gateway.Loop.now());
}

bool exchange::readDeadline() {
  const header_names &HeaderNames = Gateway.Environment.HeaderNames;
  const auto DeadlineHeader =
      Call->Request.Headers.find(HeaderNames.DeadlineMs);
  CallerDeadline = Call->Arrived + Route->Timeout;
  const auto Millis =
      DeadlineHeader ? common::parseNumber(*DeadlineHeader) : std::nullopt;
  if (Millis && *Millis > 0)
    CallerDeadline =
        Call->Arrived + std::chrono::duration_cast<duration>(std::min(
                            milliseconds(*Millis), milliseconds(LongestWait)));
  RespondBy = std::min(CallerDeadline, Call->Arrived + Route->Timeout);
  if (timeLeft() > duration::zero())
    return true;
  refuse(error_kind::QueueDeadlineExceeded, "the deadline has passed");
  return false;
}

bool exchange::checkShutdown() {
  if (!Gateway.mustReject(RespondBy))
    return true;
  refuse(error_kind::InstanceLeaving, "this instance ends soon");
  return false;
}

bool exchange::checkMemory() {
  if (!Gateway.Memory->isNearlyUsedUp())
    return true;
  ++Gateway.Counters.RefusedForMemory;
  refuse(error_kind::InstanceOverloaded,
         absl::StrCat("messages hold ", Gateway.Memory->used(), " of ",
                      Gateway.Memory->limit(), " bytes, complete ones ",
                      Gateway.Memory->complete()));
  return false;
}

bool exchange::checkTargetBytes() {
  const size_t Bytes = Call->Request.Body.size();
  if (Gateway.TargetBytes->canEverHold(Bytes))
    return true;
  ++Gateway.Counters.RefusedForTargetBytes;
  refuse(error_kind::BodyTooLarge,
         absl::StrCat("a target may hold ",
                      Gateway.TargetBytes->limit().value_or(0), " bytes of ",
                      "requests, the body has ", Bytes));
  return false;
}

bool exchange::checkKey() {
  if (Route->Public || !Routes->configurationInForce().RequiresKeys)
    return true;
  const header_names &HeaderNames = Gateway.Environment.HeaderNames;
  const auto Key = Call->Request.Headers.find(HeaderNames.Key);
  if (!Key || Key->empty()) {
    NotAdmitted = true;
    refuse(error_kind::KeyMissing, "the route needs a key");
    return false;
  }
  Workspace = Routes->workspaceOf(*Key);
  if (Workspace != nullptr && !Workspace->Closed)
    return true;
  NotAdmitted = true;
  if (Workspace != nullptr)
    refuse(error_kind::ConfigurationUnreadable, "the workspace cannot be read");
  else if (Routes->mayMissKeys())
    refuse(error_kind::ConfigurationUnreadable,
           "a workspace's keys cannot be read, this may be one of them");
  else
    refuse(error_kind::KeyUnknown, "no workspace holds this key");
  return false;
}

bool exchange::checkPlaces() {
  static const std::vector<std::string> Anywhere;
  Domains = Gateway.Regions.domainsIn(
      Route->HomeRegions,
      Workspace != nullptr ? Workspace->HomeRegions : Anywhere);
  if (!Gateway.TargetSet.isOutside(Service, Domains))
    return !giveUpIfEvacuated();
  refuse(error_kind::NoTargetInRegion,
         "no target is in a home region of the route and the workspace");
  return false;
}

bool exchange::admit() {
  if (Workspace == nullptr)
    return true;
  const fleet::admission_decision Decision = Gateway.Fleet->buckets().admit(
      fleet::usageKey(Workspace->Name),
      {Workspace->RatePerSecond, Workspace->Burst},
      Gateway.Fleet->reachableFraction(), Gateway.Loop.now(),
      Gateway.Fleet->ownFraction());
  if (Decision.Admitted)
    return true;
  NotAdmitted = true;
  refuse(error_kind::RateExceeded,
         absl::StrCat("the bucket of ", Workspace->Name, " holds ",
                      Decision.Tokens, ", rate ", Workspace->RatePerSecond,
                      ", share ", Gateway.Fleet->reachableFraction()),
         Decision.RetryAfter);
  return false;
}

std::optional<boot_time> exchange::quarantinedUntil() {
  const fleet::request_quarantine &Quarantine = Gateway.Fleet->quarantine();
  if (Quarantine.empty())
    return std::nullopt;
  return Quarantine.quarantinedUntil(fingerprint(), Gateway.Loop.now());
}

bool exchange::checkQuarantine() {
  const auto Until = quarantinedUntil();
  if (!Until)
    return true;
  ++Gateway.Counters.Quarantined;
  const size_t Ended = Gateway.Fleet->quarantine().endedTargets(fingerprint());
  refuse(error_kind::RequestQuarantined,
         absl::StrCat(Ended, " targets ended while they ran this request"),
         *Until - Gateway.Loop.now());
  return false;
}

} // namespace magnolia::gateway
