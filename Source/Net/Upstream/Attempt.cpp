#include "Net/Upstream/Attempt.h"

#include <algorithm>

#include <absl/strings/str_cat.h>

#include "Common/StringView.h"
#include "Net/Upstream/Connection.h"
#include "Net/Upstream/HeaderRules.h"
#include "Net/Upstream/HttpExchange.h"

namespace magnolia::net {
namespace {

using common::boot_clock;
using common::error_kind;
using common::execution;
using common::makeError;
using request::attempt_outcome;

struct attempt {
  const upstream_settings &Settings;
  idle_connections &Idle;
  const upstream_request &Request;
  const std::string &Address;
  response_channel &Channel;
  attempt_outcome Outcome;
  std::shared_ptr<connection> Connection;

  void run();
  absl::Status connect();
  absl::Status exchange();
  absl::Status recordNotRun(error_kind Kind, std::string_view Detail);
  absl::Status recordFailure(const http_exchange &Exchange);
  void recordResponse(const http_exchange &Exchange);
};

/// Whether the target executed a request that failed with \p Kind after at
/// least one byte of it was written.
execution executionOf(error_kind Kind) {
  return common::responseFor(Kind).Execution;
}

exchange_failure connectionFailure(const http_exchange &Exchange,
                                   const connection &Connection) {
  switch (Connection.lastError()) {
  case io_error::DeadlineExceeded:
    return {error_kind::DeadlineExceeded, "the target did not answer in time"};
  case io_error::Cancelled:
    return {error_kind::CallerGone, "the attempt was cancelled"};
  case io_error::None:
  case io_error::Closed:
    break;
  }
  if (Exchange.headReceived())
    return {error_kind::AnswerTruncated, "the answer was cut"};
  if (Exchange.headStarted())
    return {error_kind::TargetBroken, "the head of the answer was cut or bad"};
  return {error_kind::TargetBroken, "the connection ended without an answer"};
}

absl::Status attempt::recordNotRun(error_kind Kind, std::string_view Detail) {
  Outcome.Error = Kind;
  Outcome.Execution = execution::NotRun;
  return makeError(Kind, Detail);
}

absl::Status attempt::connect() {
  if (Request.Connection == connection_choice::ReuseAllowed)
    Connection = Idle.take(Address);
  Outcome.ConnectionReused = Connection != nullptr;
  if (!Connection) {
    const auto Limit =
        std::min(Request.Deadline, boot_clock::now() + Settings.ConnectTimeout);
    auto Opened = connection::open(Address, Limit);
    if (!Opened.ok())
      return recordNotRun(error_kind::TargetUnreachable,
                          common::toStd(Opened.status().message()));
    Connection = *std::move(Opened);
  }
  Outcome.Times.Connected = boot_clock::now();
  return absl::OkStatus();
}

absl::Status attempt::exchange() {
  const auto Remaining = std::chrono::duration_cast<std::chrono::milliseconds>(
      Request.Deadline - boot_clock::now());
  if (Remaining.count() <= 0)
    return recordNotRun(error_kind::TargetUnreachable, "no time is left");
  if (!Channel.attach(Connection))
    return recordNotRun(error_kind::CallerGone, "the attempt was cancelled");
  // Bytes received before the request is sent cannot be its response.
  if (!Connection->isIdle())
    return recordNotRun(error_kind::TargetUnreachable,
                        "the target sent or closed before the request");
  Connection->setDeadline(Request.Deadline);
  const uint64_t WrittenBefore = Connection->bytesWritten();
  const uint64_t ReadBefore = Connection->bytesRead();
  http_exchange Exchange(Settings, Request, Channel);
  const bool Complete = Exchange.run(*Connection, Address, Remaining);
  Outcome.BytesWritten = Connection->bytesWritten() - WrittenBefore;
  Outcome.BytesRead = Connection->bytesRead() - ReadBefore;
  recordResponse(Exchange);
  Channel.detach();
  if (Exchange.reusable() && !Channel.isCancelled())
    Idle.put(Address, Connection);
  if (!Complete)
    return recordFailure(Exchange);
  Outcome.Execution = execution::Ran;
  return absl::OkStatus();
}

void attempt::recordResponse(const http_exchange &Exchange) {
  Outcome.Times.RequestWritten = Exchange.writtenTime();
  Outcome.Times.ResponseHead = Exchange.headTime();
  Outcome.HttpStatus = Exchange.headReceived() ? Exchange.status() : 0;
  Outcome.TargetDraining = Exchange.targetDraining();
}

absl::Status attempt::recordFailure(const http_exchange &Exchange) {
  const exchange_failure Failure =
      Exchange.failure().value_or(connectionFailure(Exchange, *Connection));
  // A request of which nothing was written cannot have been executed.
  if (Outcome.BytesWritten == 0) {
    const bool CallerDisconnected = Failure.Kind == error_kind::CallerGone;
    return recordNotRun(CallerDisconnected ? Failure.Kind
                                           : error_kind::TargetUnreachable,
                        Failure.Detail);
  }
  Outcome.Error = Failure.Kind;
  Outcome.Execution = executionOf(Failure.Kind);
  return makeError(Failure.Kind, Failure.Detail);
}

void attempt::run() {
  Outcome.Times.Started = boot_clock::now();
  absl::Status Status = checkRequestHead(Request);
  if (!Status.ok())
    Status =
        recordNotRun(error_kind::BadRequest, common::toStd(Status.message()));
  if (Status.ok())
    Status = connect();
  if (Status.ok())
    Status = exchange();
  Outcome.Times.Finished = boot_clock::now();
  Channel.finish(Outcome, std::move(Status));
}

} // namespace

void runAttempt(const upstream_settings &Settings, idle_connections &Idle,
                const upstream_request &Request, const std::string &Address,
                response_channel &Channel) {
  attempt Attempt{Settings, Idle, Request, Address, Channel, {}, nullptr};
  Attempt.run();
}

} // namespace magnolia::net
