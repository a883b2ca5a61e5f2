#include "Magnoliad/Forwarder.h"

#include <absl/strings/str_cat.h>
#include <absl/synchronization/notification.h>

#include "Common/ErrorKind.h"
#include "Magnoliad/Credentials.h"
#include "Magnoliad/ForwardSession.h"

namespace magnolia::daemon {
namespace {

using common::boot_time;

/// A hedge is sent once an attempt takes longer than this quantile of the
/// recent latencies.
constexpr double HedgeQuantile = 0.95;
constexpr size_t LatencyWindow = 200;
constexpr size_t MaxStreamedBodies = 256;

bool hasBody(const forward_request &Request, const net::response_head &Head) {
  constexpr int NoContent = 204;
  constexpr int NotModified = 304;
  return Request.Head->Method != "HEAD" && Head.Status != NoContent &&
         Head.Status != NotModified && Head.BodyLength != uint64_t{0};
}

net::upstream_request toUpstream(const forward_request &Request) {
  net::upstream_request Upstream;
  Upstream.Method = Request.Head->Method;
  Upstream.Path = Request.Head->Target;
  for (const auto &[Name, Value] : Request.Head->Headers)
    if (mayReachTarget(Name))
      Upstream.Headers.push_back({Name, Value});
  if (!Request.Workspace.empty())
    Upstream.Headers.push_back(
        {std::string(WorkspaceHeader), Request.Workspace});
  Upstream.RequestId = Request.RequestId;
  Upstream.Body = Request.Body;
  if (Request.Pipe) {
    Upstream.ReadBody = [Pipe = Request.Pipe](absl::Span<char> Buffer) {
      return Pipe->read(Buffer);
    };
    Upstream.BodyLength = Request.PipeLength;
  }
  Upstream.Deadline = Request.Deadline;
  return Upstream;
}

bool sendBody(net::response_stream &Stream, boot_time Deadline,
              const http::byte_sink &Sink) {
  while (true) {
    const auto Chunk = Stream.readChunk(Deadline);
    if (!Chunk.ok())
      return false;
    if (Chunk->empty())
      return true;
    if (!Sink(*Chunk))
      return false;
  }
}

} // namespace

forwarder::forwarder(net::upstream_pool &Upstream,
                     target::target_selector &Selector, queue_agent &Queues)
    : Upstream(Upstream), Selector(Selector), Queues(Queues), Budgets({}),
      Runners({.ThreadLimit = MaxStreamedBodies}) {}

std::optional<std::chrono::microseconds>
forwarder::hedgeDelay(const std::string &Service) {
  return Latencies.withShardOf(
      Service, [&](auto &Map) -> std::optional<std::chrono::microseconds> {
        const auto Found = Map.find(Service);
        if (Found == Map.end())
          return std::nullopt;
        return Found->second->estimate();
      });
}

void forwarder::recordLatency(const std::string &Service,
                              std::chrono::microseconds Latency) {
  Latencies.withShardOf(Service, [&](auto &Map) {
    latencies &Estimate = Map[Service];
    if (!Estimate)
      Estimate = std::make_unique<request::latency_quantile>(HedgeQuantile,
                                                             LatencyWindow);
    Estimate->add(Latency);
  });
}

request::attempt_plan forwarder::makePlan(const forward_request &Request) {
  const std::string &Service = Request.Service->Name;
  request::request_traits Traits;
  // A streamed body is not kept and cannot be sent again.
  Traits.Repeatable = Request.Route->Repeatable && !Request.Pipe;
  Traits.Deadline = Request.Deadline;
  request::attempt_hooks Hooks;
  Hooks.TrySpendRetry = [this, Service] { return Budgets.trySpend(Service); };
  Hooks.HedgeDelay = [this,
                      Service]() -> std::optional<std::chrono::microseconds> {
    // A hedge must not take a slot from a request that waits for one.
    if (Queues.hasWaiting(Service))
      return std::nullopt;
    return hedgeDelay(Service);
  };
  return {{}, Traits, std::move(Hooks)};
}

net::forward_result forwarder::run(net::forwarder &Forwarder,
                                   const forward_request &Request) {
  if (!Request.Pipe)
    return Forwarder.run();
  std::optional<net::forward_result> Result;
  absl::Notification Done;
  Runners.run([&] {
    Result.emplace(Forwarder.run());
    Request.Pipe->close();
    Done.Notify();
  });
  Request.PumpBody();
  Done.WaitForNotification();
  return *std::move(Result);
}

absl::StatusOr<forward_response>
forwarder::forward(const forward_request &Request, const cancel_hook &OnCancel,
                   forward_report &Report) {
  const std::string &Service = Request.Service->Name;
  const auto Slot = Queues.await(Service, Request.Workspace, Request.Deadline);
  if (!Slot.ok())
    return Slot.status();
  const auto Session = std::make_shared<forward_session>(
      Service, Selector, *Slot,
      [this, Service](std::chrono::microseconds Latency) {
        recordLatency(Service, Latency);
      });
  Budgets.earn(Service);

  net::forward_hooks Hooks;
  Hooks.Choose = [&](absl::Span<const std::string> Tried) {
    return Session->choose(Tried, Request.Deadline, Request.Spend);
  };
  Hooks.Ended = [Session](const std::string &Target,
                          const request::attempt_outcome &Outcome) {
    Session->finishAttempt(Target, Outcome);
  };
  const auto Forwarder = std::make_shared<net::forwarder>(
      Upstream, toUpstream(Request), makePlan(Request), std::move(Hooks));
  OnCancel([Session, Weak = std::weak_ptr<net::forwarder>(Forwarder)] {
    Session->callerDisconnected();
    if (const auto Live = Weak.lock())
      Live->callerDisconnected();
  });

  net::forward_result Result = run(*Forwarder, Request);
  Report.Target = Result.Target;
  Report.Execution = Result.Verdict.Execution;
  if (!Result.Response)
    return common::makeError(
        Result.Verdict.Error.value_or(common::error_kind::Internal),
        Result.Detail);

  forward_response Response;
  Response.Status = Result.Head.Status;
  Response.Headers = std::move(Result.Head.Headers);
  Response.BodyLength = Result.Head.BodyLength;
  const auto Stream =
      std::make_shared<net::response_stream>(*std::move(Result.Response));
  OnCancel([Session, Stream] {
    Session->callerDisconnected();
    Stream->cancel();
  });
  const boot_time Deadline = Request.Deadline;
  // The server does not request an empty body, but reading to the end is needed
  // to complete the attempt.
  if (!hasBody(Request, Result.Head))
    sendBody(*Stream, Deadline, [](std::string_view) { return true; });
  Response.Produce = [Stream, Deadline](const http::byte_sink &Sink) {
    return sendBody(*Stream, Deadline, Sink);
  };
  return Response;
}

} // namespace magnolia::daemon
