#include "Magnoliad/Gateway.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>

#include "Common/Digest.h"
#include "Common/ErrorKind.h"
#include "Common/Log.h"
#include "Magnoliad/Credentials.h"
#include "Magnoliad/ErrorResponse.h"

namespace magnolia::daemon {
namespace {

using common::boot_clock;
using common::boot_time;
using common::error_kind;
using common::makeError;

constexpr std::string_view DirectoryPath = "/.magnolia/directory";
constexpr std::string_view InternalPathPrefix = "/.magnolia/";

constexpr std::string_view IdempotencyHeader = "Idempotency-Key";

/// Outcomes in logs and metrics in addition to the names of error kinds.
constexpr std::string_view SuccessOutcome = "ok";
constexpr std::string_view BrokenResponseOutcome = "answer_broken_off";

constexpr size_t RequestIdBytes = 12;

/// Maximum bytes of a streamed body that are buffered between caller and
/// target.
constexpr size_t PipeCapacityBytes = size_t{256} * 1024;

/// Formats the boot-clock times in microseconds at which the permits of the
/// attempts were spent.
std::string formatSpendTimes(const forward_report &Report) {
  return absl::StrJoin(Report.Spent, ",", [](std::string *Out, boot_time Time) {
    absl::StrAppend(Out, Time.time_since_epoch().count());
  });
}

} // namespace

/// State of one request. Logged and counted on destruction, when the last
/// reference is released after the end of the response.
struct gateway::request_context {
  explicit request_context(gateway &Owner) : Owner(Owner) {}
  ~request_context() { Owner.record(*this); }
  request_context(const request_context &) = delete;
  request_context &operator=(const request_context &) = delete;

  gateway &Owner;
  boot_time Arrived = boot_clock::now();
  std::string RequestId = common::randomHex(RequestIdBytes);
  std::string Method;
  std::string KeyId;
  std::string_view Outcome = SuccessOutcome;
  contract::snapshot_ptr Snapshot;
  std::optional<rate_permit> Permit;
  std::optional<request::claim> Claim;
  /// The streamed body exceeded its limit.
  bool BodyCutOff = false;
  /// Status of the target's response, zero before it is received.
  int HttpStatus = 0;
  forward_request Request;
  forward_report Report;
};

gateway::gateway(const settings &Settings, gateway_hooks Hooks,
                 forwarder &Forwarder, common::metrics &Metrics)
    : Settings(Settings), Hooks(std::move(Hooks)), Forwarder(Forwarder),
      Metrics(Metrics) {}

void gateway::handle(http::http_exchange &Exchange) {
  const auto Context = std::make_shared<request_context>(*this);
  Context->Method = Exchange.request().Method;
  const absl::Status Status = serve(Exchange, Context);
  if (Status.ok())
    return;
  Context->Outcome = common::responseFor(common::kindOf(Status)).Name;
  Exchange.respond(makeErrorResponse(Status, Context->RequestId));
}

absl::Status gateway::serve(http::http_exchange &Exchange,
                            const context_ptr &Context) {
  const std::string &Path = Exchange.request().Path;
  Context->Snapshot = Hooks.Snapshot();
  if (!Context->Snapshot)
    return makeError(error_kind::ConfigurationMissing,
                     "this instance has no configuration yet");
  if (Path == DirectoryPath)
    return serveDirectory(Exchange, *Context);
  if (Path.starts_with(InternalPathPrefix))
    return makeError(error_kind::RouteNotFound, "no such path");
  return serveRoute(Exchange, Context);
}

absl::Status gateway::serveDirectory(http::http_exchange &Exchange,
                                     request_context &Context) {
  const auto Secret = findSecret(Exchange.request().Headers);
  if (Secret) {
    absl::Status Authorized = authorize(*Secret, Context);
    if (!Authorized.ok())
      return Authorized;
  }
  Exchange.respond(Hooks.Directory(Context.Request.Workspace));
  return absl::OkStatus();
}

absl::Status gateway::authorize(std::string_view Secret,
                                request_context &Context) const {
  const contract::key *Key =
      Context.Snapshot->findKey(common::sha256Hex(Secret));
  if (!Key)
    return makeError(error_kind::KeyUnknown, "the key is unknown or revoked");
  Context.KeyId = Key->Id;
  Context.Request.Workspace = Key->Workspace;
  return absl::OkStatus();
}

absl::Status gateway::checkKey(const http::request_head &Head,
                               request_context &Context) const {
  const auto Secret = findSecret(Head.Headers);
  if (!Secret)
    return makeError(error_kind::KeyMissing, "this route needs a key");
  if (!Hooks.IsFresh())
    return makeError(error_kind::ConfigurationStale,
                     "this instance is cut off from news of keys");
  absl::Status Authorized = authorize(*Secret, Context);
  if (!Authorized.ok())
    return Authorized;
  const auto Stated = http::findHeader(Head.Headers, WorkspaceHeader);
  if (Stated && *Stated != Context.Request.Workspace)
    return makeError(error_kind::WorkspaceMismatch,
                     "the key belongs to another workspace");
  return absl::OkStatus();
}

absl::Status gateway::readBody(http::http_exchange &Exchange,
                               request_context &Context) const {
  const limit_settings &Limits = Settings.Limits;
  const auto Length = Exchange.bodyLength();
  if (Length.value_or(0) > Limits.BodyBytes)
    return makeError(
        error_kind::BodyTooLarge,
        absl::StrCat("the body is above ", Limits.BodyBytes, " bytes"));
  if (!Exchange.hasBody())
    return absl::OkStatus();
  if (!Length || *Length > Limits.BufferedBodyBytes) {
    Context.Request.Pipe = std::make_shared<body_pipe>(PipeCapacityBytes);
    Context.Request.PipeLength = Length;
    return absl::OkStatus();
  }
  const bool Complete = Exchange.readBody([&](std::string_view Bytes) {
    Context.Request.Body += Bytes;
    return true;
  });
  if (!Complete)
    return makeError(error_kind::BadRequest, "the body did not come whole");
  return absl::OkStatus();
}

absl::Status gateway::serveRoute(http::http_exchange &Exchange,
                                 const context_ptr &Context) {
  const http::request_head &Head = Exchange.request();
  forward_request &Request = Context->Request;
  Request.Route = Context->Snapshot->findRoute(Head.Path);
  if (!Request.Route)
    return makeError(error_kind::RouteNotFound, "no route for this path");
  Request.Service = Context->Snapshot->findService(Request.Route->Service);
  Request.RequestId = Context->RequestId;
  Request.Head = &Head;
  Request.Deadline = Context->Arrived + Request.Route->Timeout;

  const bool Keyed = Request.Route->Access == contract::route_access::Keyed;
  absl::Status Status = Keyed ? checkKey(Head, *Context) : absl::OkStatus();
  if (Status.ok())
    Status = readBody(Exchange, *Context);
  if (Status.ok() && Keyed)
    Status = admit(*Context);
  if (Status.ok())
    Status = claimKey(*Context);
  if (Status.ok())
    Status = forward(Exchange, Context);
  finishClaim(*Context, Status);
  if (Context->Permit)
    Context->Permit->Cancel();
  return Status;
}

absl::Status gateway::admit(request_context &Context) const {
  auto Admitted =
      Hooks.AdmitRate(Context.Request.Workspace, Context.Request.Deadline);
  if (!Admitted.ok())
    return Admitted.status();
  Context.Permit = std::move(*Admitted);
  return absl::OkStatus();
}

absl::Status gateway::claimKey(request_context &Context) const {
  const forward_request &Request = Context.Request;
  const auto Key = http::findHeader(Request.Head->Headers, IdempotencyHeader);
  if (!Key || Request.Route->Repeatable)
    return absl::OkStatus();
  // A streamed body has not been read yet and is not part of the fingerprint.
  const std::string Fingerprint = request::fingerprintOf(
      Request.Head->Method, Request.Head->Target, Request.Body);
  auto Claim = Hooks.ClaimKey(
      {Request.Workspace, Request.Route->Name, std::string(*Key)}, Fingerprint,
      Request.Deadline);
  if (!Claim.ok())
    return Claim.status();
  Context.Claim = *std::move(Claim);
  return absl::OkStatus();
}

void gateway::finishClaim(request_context &Context,
                          const absl::Status &Status) const {
  if (!Context.Claim)
    return;
  const common::execution Execution =
      Status.ok() ? common::execution::Ran : Context.Report.Execution;
  Hooks.FinishClaim(*Context.Claim, Execution, Context.HttpStatus);
}

absl::Status gateway::spend(request_context &Context) const {
  const auto SpentAt = spendPermit(Context);
  if (!SpentAt.ok())
    return SpentAt.status();
  Context.Report.Spent.push_back(*SpentAt);
  return absl::OkStatus();
}

absl::StatusOr<boot_time> gateway::spendPermit(request_context &Context) const {
  if (Context.Request.Workspace.empty())
    return boot_clock::now();
  // Targets receive every attempt, so a retry needs its own permit.
  if (!Context.Permit) {
    absl::Status Admitted = admit(Context);
    if (!Admitted.ok())
      return Admitted;
  }
  const rate_permit Permit = std::move(*Context.Permit);
  Context.Permit.reset();
  // The rate holds for any moment at which the permit was reserved; after it is
  // spent, this thread may have to wait before it reads the clock.
  const boot_time SpentAt = boot_clock::now();
  if (Permit.Spend())
    return SpentAt;
  return makeError(error_kind::RateUnavailable,
                   "the right to send the request has ended");
}

absl::Status gateway::forward(http::http_exchange &Exchange,
                              const context_ptr &Context) {
  forward_request &Request = Context->Request;
  Request.Spend = [this, Raw = Context.get()] { return spend(*Raw); };
  if (Request.Pipe)
    Request.PumpBody = [this, &Exchange, Raw = Context.get()] {
      pumpBody(Exchange, *Raw);
    };
  auto Response = Forwarder.forward(
      Request,
      [&](std::function<void()> Cancel) {
        Exchange.onCallerDisconnect(std::move(Cancel));
      },
      Context->Report);
  if (Context->BodyCutOff)
    return makeError(error_kind::BodyCutOff,
                     absl::StrCat("the body is above ",
                                  Settings.Limits.BodyBytes, " bytes"));
  if (!Response.ok())
    return Response.status();

  Context->HttpStatus = Response->Status;
  const auto Produce = std::move(Response->Produce);
  Exchange.respond(http::streamed_response{
      Response->Status, std::move(Response->Headers), Response->BodyLength,
      [Context, Produce](const http::byte_sink &Sink) {
        const bool Complete = Produce(Sink);
        if (!Complete)
          Context->Outcome = BrokenResponseOutcome;
        return Complete;
      }});
  return absl::OkStatus();
}

void gateway::pumpBody(http::http_exchange &Exchange,
                       request_context &Context) const {
  body_pipe &Pipe = *Context.Request.Pipe;
  uint64_t Total = 0;
  const bool Complete = Exchange.readBody([&](std::string_view Bytes) {
    Total += Bytes.size();
    Context.BodyCutOff = Total > Settings.Limits.BodyBytes;
    return !Context.BodyCutOff && Pipe.push(Bytes);
  });
  Pipe.finish(Complete);
}

void gateway::record(const request_context &Context) {
  const auto Latency = boot_clock::now() - Context.Arrived;
  const contract::route *Route = Context.Request.Route;
  const std::string RouteName = Route ? Route->Name : "-";
  Metrics.countRequest(RouteName, Context.Outcome, Latency);
  if (!Settings.RequestLog)
    return;
  // Lines of one kind are limited in number: a flood of refusals must not hide
  // the requests that were sent to a target.
  const bool IsSent = !Context.Report.Spent.empty();
  common::log(common::log_level::Info, "Request",
              IsSent ? "request finished" : "request refused",
              {{"id", Context.RequestId},
               {"method", Context.Method},
               {"route", RouteName},
               {"workspace", Context.Request.Workspace},
               {"key", Context.KeyId},
               {"outcome", std::string(Context.Outcome)},
               {"target", Context.Report.Target},
               {"attempts", std::to_string(Context.Report.Spent.size())},
               {"spent_us", formatSpendTimes(Context.Report)},
               {"micros", std::to_string(Latency.count())}});
}

} // namespace magnolia::daemon
