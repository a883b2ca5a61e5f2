#include "Magnoliad/Gateway.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>

#include "Common/Digest.h"
#include "Common/ErrorKind.h"
#include "Common/Log.h"
#include "Magnoliad/Credentials.h"
#include "Magnoliad/Refusal.h"

namespace magnolia::daemon {
namespace {

using common::boot_clock;
using common::boot_time;
using common::error_kind;
using common::makeError;

constexpr std::string_view DirectoryPath = "/.magnolia/directory";
constexpr std::string_view OwnPathPrefix = "/.magnolia/";

constexpr std::string_view IdempotencyHeader = "Idempotency-Key";

/// Outcomes in logs and metrics beside the names of the error table.
constexpr std::string_view SuccessOutcome = "ok";
constexpr std::string_view BrokenOutcome = "answer_broken_off";

/// Random bytes in a request id.
constexpr size_t RequestIdBytes = 12;

/// Body bytes that wait in memory between caller and target.
constexpr size_t PipeBytes = size_t{256} * 1024;

/// Boot-clock microseconds at which each attempt was paid for.
std::string spentText(const forward_report &Report) {
  return absl::StrJoin(Report.Spent, ",", [](std::string *Out, boot_time Time) {
    absl::StrAppend(Out, Time.time_since_epoch().count());
  });
}

} // namespace

/// What is known of one request while it is served; recorded when the last part
/// that needs it is gone, which is after the end of the answer.
struct gateway::visit {
  explicit visit(gateway &Owner) : Owner(Owner) {}
  ~visit() { Owner.record(*this); }
  visit(const visit &) = delete;
  visit &operator=(const visit &) = delete;

  gateway &Owner;
  boot_time Arrived = boot_clock::now();
  std::string RequestId = common::randomHex(RequestIdBytes);
  std::string Method;
  std::string KeyId;
  std::string_view Outcome = SuccessOutcome;
  contract::snapshot_ptr Snapshot;
  std::optional<rate_permit> Permit;
  std::optional<request::claim> Claim;
  /// The streamed body passed its limit.
  bool BodyCutOff = false;
  /// Of the answer, once there is one.
  int HttpStatus = 0;
  forward_request Request;
  forward_report Report;
};

gateway::gateway(const settings &Settings, gateway_hooks Hooks,
                 forwarder &Forwarder, common::metrics &Metrics)
    : Settings(Settings), Hooks(std::move(Hooks)), Forwarder(Forwarder),
      Metrics(Metrics) {}

void gateway::handle(http::http_exchange &Exchange) {
  const auto Visit = std::make_shared<visit>(*this);
  Visit->Method = Exchange.request().Method;
  const absl::Status Status = serve(Exchange, Visit);
  if (Status.ok())
    return;
  Visit->Outcome = common::responseFor(common::kindOf(Status)).Name;
  Exchange.answer(makeRefusal(Status, Visit->RequestId));
}

absl::Status gateway::serve(http::http_exchange &Exchange,
                            const visit_ptr &Visit) {
  const std::string &Path = Exchange.request().Path;
  Visit->Snapshot = Hooks.Snapshot();
  if (!Visit->Snapshot)
    return makeError(error_kind::ConfigurationMissing,
                     "this instance has no configuration yet");
  if (Path == DirectoryPath)
    return serveDirectory(Exchange, *Visit);
  if (Path.starts_with(OwnPathPrefix))
    return makeError(error_kind::RouteNotFound, "no such path");
  return serveRoute(Exchange, Visit);
}

absl::Status gateway::serveDirectory(http::http_exchange &Exchange,
                                     visit &Visit) {
  const auto Secret = findSecret(Exchange.request().Headers);
  if (Secret) {
    absl::Status Authorized = authorize(*Secret, Visit);
    if (!Authorized.ok())
      return Authorized;
  }
  Exchange.answer(Hooks.Directory(Visit.Request.Workspace));
  return absl::OkStatus();
}

absl::Status gateway::authorize(std::string_view Secret, visit &Visit) const {
  const contract::key *Key = Visit.Snapshot->findKey(common::sha256Hex(Secret));
  if (!Key)
    return makeError(error_kind::KeyUnknown, "the key is unknown or revoked");
  Visit.KeyId = Key->Id;
  Visit.Request.Workspace = Key->Workspace;
  return absl::OkStatus();
}

absl::Status gateway::checkKey(const http::request_head &Head,
                               visit &Visit) const {
  const auto Secret = findSecret(Head.Headers);
  if (!Secret)
    return makeError(error_kind::KeyMissing, "this route needs a key");
  if (!Hooks.IsFresh())
    return makeError(error_kind::ConfigurationStale,
                     "this instance is cut off from news of keys");
  absl::Status Authorized = authorize(*Secret, Visit);
  if (!Authorized.ok())
    return Authorized;
  const auto Stated = http::findHeader(Head.Headers, WorkspaceHeader);
  if (Stated && *Stated != Visit.Request.Workspace)
    return makeError(error_kind::WorkspaceMismatch,
                     "the key belongs to another workspace");
  return absl::OkStatus();
}

absl::Status gateway::readBody(http::http_exchange &Exchange,
                               visit &Visit) const {
  const limit_settings &Limits = Settings.Limits;
  const auto Length = Exchange.bodyLength();
  if (Length.value_or(0) > Limits.BodyBytes)
    return makeError(
        error_kind::BodyTooLarge,
        absl::StrCat("the body is above ", Limits.BodyBytes, " bytes"));
  if (!Exchange.hasBody())
    return absl::OkStatus();
  if (!Length || *Length > Limits.BufferedBodyBytes) {
    Visit.Request.Pipe = std::make_shared<body_pipe>(PipeBytes);
    Visit.Request.PipeLength = Length;
    return absl::OkStatus();
  }
  const bool Whole = Exchange.readBody([&](std::string_view Bytes) {
    Visit.Request.Body += Bytes;
    return true;
  });
  if (!Whole)
    return makeError(error_kind::BadRequest, "the body did not come whole");
  return absl::OkStatus();
}

absl::Status gateway::serveRoute(http::http_exchange &Exchange,
                                 const visit_ptr &Visit) {
  const http::request_head &Head = Exchange.request();
  forward_request &Request = Visit->Request;
  Request.Route = Visit->Snapshot->findRoute(Head.Path);
  if (!Request.Route)
    return makeError(error_kind::RouteNotFound, "no route for this path");
  Request.Service = Visit->Snapshot->findService(Request.Route->Service);
  Request.RequestId = Visit->RequestId;
  Request.Head = &Head;
  Request.Deadline = Visit->Arrived + Request.Route->Timeout;

  const bool Keyed = Request.Route->Access == contract::route_access::Keyed;
  absl::Status Status = Keyed ? checkKey(Head, *Visit) : absl::OkStatus();
  if (Status.ok())
    Status = readBody(Exchange, *Visit);
  if (Status.ok() && Keyed)
    Status = admit(*Visit);
  if (Status.ok())
    Status = claimKey(*Visit);
  if (Status.ok())
    Status = forward(Exchange, Visit);
  finishClaim(*Visit, Status);
  if (Visit->Permit)
    Visit->Permit->Cancel();
  return Status;
}

absl::Status gateway::admit(visit &Visit) const {
  auto Admitted =
      Hooks.AdmitRate(Visit.Request.Workspace, Visit.Request.Deadline);
  if (!Admitted.ok())
    return Admitted.status();
  Visit.Permit = std::move(*Admitted);
  return absl::OkStatus();
}

absl::Status gateway::claimKey(visit &Visit) const {
  const forward_request &Request = Visit.Request;
  const auto Key = http::findHeader(Request.Head->Headers, IdempotencyHeader);
  if (!Key || Request.Route->Repeatable)
    return absl::OkStatus();
  // A body that streams is not there yet and stays out of the fingerprint.
  const std::string Fingerprint = request::fingerprintOf(
      Request.Head->Method, Request.Head->Target, Request.Body);
  auto Claim = Hooks.ClaimKey(
      {Request.Workspace, Request.Route->Name, std::string(*Key)}, Fingerprint,
      Request.Deadline);
  if (!Claim.ok())
    return Claim.status();
  Visit.Claim = *std::move(Claim);
  return absl::OkStatus();
}

void gateway::finishClaim(visit &Visit, const absl::Status &Status) const {
  if (!Visit.Claim)
    return;
  const common::execution Execution =
      Status.ok() ? common::execution::Ran : Visit.Report.Execution;
  Hooks.FinishClaim(*Visit.Claim, Execution, Visit.HttpStatus);
}

absl::Status gateway::spend(visit &Visit) const {
  absl::Status Spent = spendRight(Visit);
  if (Spent.ok())
    Visit.Report.Spent.push_back(boot_clock::now());
  return Spent;
}

absl::Status gateway::spendRight(visit &Visit) const {
  if (Visit.Request.Workspace.empty())
    return absl::OkStatus();
  // Targets count every attempt, so a retry needs a right of its own.
  if (!Visit.Permit) {
    absl::Status Admitted = admit(Visit);
    if (!Admitted.ok())
      return Admitted;
  }
  const rate_permit Permit = std::move(*Visit.Permit);
  Visit.Permit.reset();
  if (Permit.Spend())
    return absl::OkStatus();
  return makeError(error_kind::RateUnavailable,
                   "the right to send the request has ended");
}

absl::Status gateway::forward(http::http_exchange &Exchange,
                              const visit_ptr &Visit) {
  forward_request &Request = Visit->Request;
  Request.Spend = [this, Raw = Visit.get()] { return spend(*Raw); };
  if (Request.Pipe)
    Request.PumpBody = [this, &Exchange, Raw = Visit.get()] {
      pumpBody(Exchange, *Raw);
    };
  auto Answer = Forwarder.forward(
      Request,
      [&](std::function<void()> Cancel) {
        Exchange.onCallerGone(std::move(Cancel));
      },
      Visit->Report);
  if (Visit->BodyCutOff)
    return makeError(error_kind::BodyCutOff,
                     absl::StrCat("the body is above ",
                                  Settings.Limits.BodyBytes, " bytes"));
  if (!Answer.ok())
    return Answer.status();

  Visit->HttpStatus = Answer->Status;
  const auto Produce = std::move(Answer->Produce);
  Exchange.answer(http::streamed_answer{
      Answer->Status, std::move(Answer->Headers), Answer->BodyLength,
      [Visit, Produce](const http::byte_sink &Sink) {
        const bool Whole = Produce(Sink);
        if (!Whole)
          Visit->Outcome = BrokenOutcome;
        return Whole;
      }});
  return absl::OkStatus();
}

void gateway::pumpBody(http::http_exchange &Exchange, visit &Visit) const {
  body_pipe &Pipe = *Visit.Request.Pipe;
  uint64_t Total = 0;
  const bool Whole = Exchange.readBody([&](std::string_view Bytes) {
    Total += Bytes.size();
    Visit.BodyCutOff = Total > Settings.Limits.BodyBytes;
    return !Visit.BodyCutOff && Pipe.push(Bytes);
  });
  Pipe.finish(Whole);
}

void gateway::record(const visit &Visit) {
  const auto Latency = boot_clock::now() - Visit.Arrived;
  const contract::route *Route = Visit.Request.Route;
  const std::string RouteName = Route ? Route->Name : "-";
  Metrics.countRequest(RouteName, Visit.Outcome, Latency);
  if (!Settings.RequestLog)
    return;
  common::log(common::log_level::Info, "Request", "request finished",
              {{"id", Visit.RequestId},
               {"method", Visit.Method},
               {"route", RouteName},
               {"workspace", Visit.Request.Workspace},
               {"key", Visit.KeyId},
               {"outcome", std::string(Visit.Outcome)},
               {"target", Visit.Report.Target},
               {"attempts", std::to_string(Visit.Report.Spent.size())},
               {"spent_us", spentText(Visit.Report)},
               {"micros", std::to_string(Latency.count())}});
}

} // namespace magnolia::daemon
