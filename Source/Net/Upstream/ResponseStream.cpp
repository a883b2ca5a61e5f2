#include "Net/Upstream/ResponseStream.h"

#include <absl/time/time.h>

#include "Net/Upstream/Connection.h"

namespace magnolia::net {

using common::boot_clock;
using common::boot_time;
using common::error_kind;
using request::attempt_outcome;

response_channel::response_channel(size_t MaxBufferedBytes, stream_hooks Hooks)
    : MaxBufferedBytes(MaxBufferedBytes), Hooks(std::move(Hooks)) {}

bool response_channel::attach(std::shared_ptr<connection> NewConnection) {
  const absl::MutexLock Lock(&Mutex);
  if (Cancelled)
    return false;
  Connection = std::move(NewConnection);
  return true;
}

void response_channel::detach() {
  const absl::MutexLock Lock(&Mutex);
  Connection.reset();
}

bool response_channel::isCancelled() const {
  const absl::MutexLock Lock(&Mutex);
  return Cancelled;
}

void response_channel::pushHead(response_head NewHead) {
  {
    const absl::MutexLock Lock(&Mutex);
    Head = std::move(NewHead);
    Changed.SignalAll();
  }
  if (Hooks.HeadOrEnd)
    Hooks.HeadOrEnd();
}

bool response_channel::pushBody(std::string_view Bytes, boot_time Deadline) {
  const absl::MutexLock Lock(&Mutex);
  if (!awaitLocked(&response_channel::hasSpaceLocked, Deadline) || Cancelled)
    return false;
  Body.append(Bytes);
  Changed.SignalAll();
  return true;
}

void response_channel::finish(const attempt_outcome &NewOutcome,
                              absl::Status NewError) {
  {
    const absl::MutexLock Lock(&Mutex);
    Outcome = NewOutcome;
    Error = std::move(NewError);
    Connection.reset();
    Changed.SignalAll();
  }
  if (Hooks.Ended)
    Hooks.Ended(NewOutcome);
  if (Hooks.HeadOrEnd)
    Hooks.HeadOrEnd();
}

absl::StatusOr<response_head> response_channel::awaitHead(boot_time Deadline) {
  const absl::MutexLock Lock(&Mutex);
  if (!awaitLocked(&response_channel::hasHeadOrEndLocked, Deadline))
    return common::makeError(error_kind::DeadlineExceeded,
                             "no answer within the time");
  if (Head)
    return *Head;
  return Error;
}

absl::StatusOr<std::string> response_channel::readChunk(boot_time Deadline) {
  const absl::MutexLock Lock(&Mutex);
  if (!awaitLocked(&response_channel::hasBodyOrEndLocked, Deadline))
    return common::makeError(error_kind::DeadlineExceeded,
                             "the answer stalled");
  if (!Body.empty()) {
    std::string Chunk;
    Chunk.swap(Body);
    Changed.SignalAll();
    return Chunk;
  }
  if (!Error.ok())
    return Error;
  return std::string();
}

std::optional<attempt_outcome>
response_channel::awaitOutcome(boot_time Deadline) {
  const absl::MutexLock Lock(&Mutex);
  awaitLocked(&response_channel::isFinishedLocked, Deadline);
  return Outcome;
}

bool response_channel::hasHeadOrEnd() const {
  const absl::MutexLock Lock(&Mutex);
  return hasHeadOrEndLocked();
}

void response_channel::cancel() {
  const absl::MutexLock Lock(&Mutex);
  if (Outcome)
    return;
  Cancelled = true;
  if (Connection)
    Connection->cancel();
  Changed.SignalAll();
}

bool response_channel::hasHeadOrEndLocked() const {
  return Head.has_value() || Outcome.has_value();
}

bool response_channel::hasBodyOrEndLocked() const {
  return !Body.empty() || Outcome.has_value();
}

bool response_channel::hasSpaceLocked() const {
  return Cancelled || Body.size() < MaxBufferedBytes;
}

bool response_channel::isFinishedLocked() const { return Outcome.has_value(); }

bool response_channel::awaitLocked(bool (response_channel::*Condition)() const,
                                   boot_time Deadline) {
  while (!(this->*Condition)()) {
    const boot_time Now = boot_clock::now();
    if (Now >= Deadline)
      return false;
    Changed.WaitWithTimeout(&Mutex, absl::FromChrono(Deadline - Now));
  }
  return true;
}

response_stream::response_stream(std::shared_ptr<response_channel> Channel)
    : Channel(std::move(Channel)) {}

response_stream::~response_stream() {
  if (Channel)
    Channel->cancel();
}

absl::StatusOr<response_head> response_stream::awaitHead(boot_time Deadline) {
  return Channel->awaitHead(Deadline);
}

absl::StatusOr<std::string> response_stream::readChunk(boot_time Deadline) {
  return Channel->readChunk(Deadline);
}

std::optional<attempt_outcome>
response_stream::awaitOutcome(boot_time Deadline) {
  return Channel->awaitOutcome(Deadline);
}

bool response_stream::hasHeadOrEnd() const { return Channel->hasHeadOrEnd(); }

void response_stream::cancel() { Channel->cancel(); }

} // namespace magnolia::net
