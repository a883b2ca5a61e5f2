#include "Magnoliad/Forwarder.h"

#include <absl/strings/str_cat.h>

#include "Common/ErrorKind.h"
#include "Magnoliad/Credentials.h"

namespace magnolia::daemon {
namespace {

using common::boot_clock;
using common::boot_time;
using common::error_kind;
using common::execution;

/// Attempts at one request, the first included.
constexpr int MaxAttempts = 3;

/// How long the end of an attempt that gave no head is awaited.
constexpr std::chrono::seconds OutcomeWait{1};

target::outcome outcomeOf(const request::attempt_outcome &Outcome) {
  constexpr int ServerErrors = 500;
  if (Outcome.ok())
    return Outcome.HttpStatus >= ServerErrors ? target::outcome::Error
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
  Observation.Latency = Times.AnswerHead.value_or(Times.Finished) - Written;
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

bool hasBody(const forward_request &Request, const net::answer_head &Head) {
  constexpr int NoContent = 204;
  constexpr int NotModified = 304;
  return Request.Head->Method != "HEAD" && Head.Status != NoContent &&
         Head.Status != NotModified && Head.BodyLength != uint64_t{0};
}

bool mayRetry(const forward_request &Request, const absl::Status &Status) {
  if (Request.Pipe)
    return false;
  const error_kind Kind = common::kindOf(Status);
  if (Kind == error_kind::CallerGone || Kind == error_kind::AnswerTooLarge)
    return false;
  const bool NotRun = common::answerFor(Kind).Execution == execution::NotRun;
  return NotRun || Request.Route->Repeatable;
}

} // namespace

/// One attempt and what it holds at its target. The selector hears of its end
/// exactly once.
class forwarder::attempt {
public:
  attempt(net::answer_stream Stream, target::choice Choice,
          target::target_selector &Selector, queue_turn_ptr Turn,
          boot_time Deadline)
      : Stream(std::move(Stream)), Choice(std::move(Choice)),
        Selector(Selector), Turn(std::move(Turn)), Deadline(Deadline) {}

  ~attempt() {
    const boot_time Now = boot_clock::now();
    const auto Outcome = Stream.awaitOutcome(Now);
    if (!Outcome) {
      Selector.cancel(Choice, Now);
      Turn->limits().finish(Choice.Target, admission::target_outcome::Failed,
                            {}, Now);
      return;
    }
    const target::observation Observation = observe(*Outcome);
    Selector.finish(Choice, Observation, Now);
    Turn->limits().finish(Choice.Target, limitOutcome(*Outcome),
                          Observation.Latency, Now);
    if (!Outcome->ok())
      Turn->markFailed();
  }

  attempt(const attempt &) = delete;
  attempt &operator=(const attempt &) = delete;

  absl::StatusOr<net::answer_head> awaitHead() {
    auto Head = Stream.awaitHead(Deadline);
    // The outcome tells the selector why there is no head.
    if (!Head.ok())
      Stream.awaitOutcome(boot_clock::now() + OutcomeWait);
    return Head;
  }

  bool sendBody(const http::byte_sink &Sink) {
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

  void cancel() { Stream.cancel(); }
  const target::choice &choice() const { return Choice; }

private:
  net::answer_stream Stream;
  const target::choice Choice;
  target::target_selector &Selector;
  const queue_turn_ptr Turn;
  const boot_time Deadline;
};

net::upstream_request
forwarder::buildRequest(const forward_request &Request) const {
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
  Upstream.Connection = Request.Route->Repeatable
                            ? net::connection_choice::ReuseAllowed
                            : net::connection_choice::FreshOnly;
  return Upstream;
}

std::optional<target::choice>
forwarder::choose(const forward_request &Request, queue_turn &Turn,
                  const std::vector<std::string> &Tried) {
  std::vector<std::string> Excluded = Tried;
  while (true) {
    auto Choice =
        Selector.choose(Request.Service->Name, Excluded, boot_clock::now());
    if (!Choice || Turn.limits().tryStart(Choice->Target))
      return Choice;
    Selector.cancel(*Choice, boot_clock::now());
    Excluded.push_back(Choice->Target);
  }
}

absl::StatusOr<forwarder::attempt_ptr>
forwarder::begin(const forward_request &Request, const queue_turn_ptr &Turn,
                 std::vector<std::string> &Tried) {
  auto Choice = choose(Request, *Turn, Tried);
  if (!Choice)
    return common::makeError(
        error_kind::NoTargetAvailable,
        absl::StrCat("no target of ", Request.Service->Name, " is available"));
  Tried.push_back(Choice->Target);
  if (Request.Spend && !Request.Spend()) {
    Selector.cancel(*Choice, boot_clock::now());
    Turn->limits().finish(Choice->Target, admission::target_outcome::Failed, {},
                          boot_clock::now());
    return common::makeError(error_kind::RateUnavailable,
                             "the right to send the request has ended");
  }
  std::string Address = Choice->Address;
  std::function<void()> Notify;
  if (Request.Pipe)
    Notify = [Pipe = Request.Pipe] { Pipe->close(); };
  const auto Attempt = std::make_shared<attempt>(
      Upstream.start(buildRequest(Request), std::move(Address), Notify),
      std::move(*Choice), Selector, Turn, Request.Deadline);
  if (Request.PumpBody)
    Request.PumpBody();
  return Attempt;
}

absl::StatusOr<forward_answer>
forwarder::forward(const forward_request &Request,
                   const std::function<void(std::function<void()>)> &OnCancel,
                   forward_report &Report) {
  const auto Turn =
      Queues.await(Request.Service->Name, Request.Workspace, Request.Deadline);
  if (!Turn.ok())
    return Turn.status();
  std::vector<std::string> Tried;
  absl::Status Last;
  while (Report.Attempts < MaxAttempts) {
    auto Attempt = begin(Request, *Turn, Tried);
    if (!Attempt.ok())
      return Last.ok() ? Attempt.status() : Last;
    ++Report.Attempts;
    Report.Target = (*Attempt)->choice().Target;
    OnCancel([Weak = std::weak_ptr<attempt>(*Attempt)] {
      if (const attempt_ptr Live = Weak.lock())
        Live->cancel();
    });
    auto Head = (*Attempt)->awaitHead();
    if (Head.ok()) {
      forward_answer Answer;
      Answer.Status = Head->Status;
      for (auto &[Name, Value] : Head->Headers)
        Answer.Headers.emplace_back(Name, Value);
      Answer.BodyLength = Head->BodyLength;
      Answer.Produce = [Held = *Attempt](const http::byte_sink &Sink) {
        return Held->sendBody(Sink);
      };
      // Nothing asks for a body that is not there, yet the attempt's end
      // counts.
      if (!hasBody(Request, *Head))
        (*Attempt)->sendBody([](std::string_view) { return true; });
      return Answer;
    }
    Last = Head.status();
    if (!mayRetry(Request, Last))
      break;
  }
  return Last;
}

} // namespace magnolia::daemon
