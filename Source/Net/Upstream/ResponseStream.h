#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include <absl/base/thread_annotations.h>
#include <absl/status/statusor.h>
#include <absl/synchronization/mutex.h>

#include "Net/Upstream/Message.h"
#include "Request/Outcome.h"

namespace magnolia::net {

class connection;

/// Callbacks of an attempt. The receiving thread calls them without holding a
/// lock.
struct stream_hooks {
  /// The head was received or the attempt has ended.
  std::function<void()> HeadOrEnd;
  /// The attempt has ended; called once, before the last HeadOrEnd.
  std::function<void(const request::attempt_outcome &)> Ended;
};

/// Passes one response from the thread that receives it to the thread that
/// reads it. Buffers a bounded number of body bytes.
class response_channel {
public:
  response_channel(size_t MaxBufferedBytes, stream_hooks Hooks);

  // For the receiving thread.

  /// Sets the connection that cancel() shuts down; false if already cancelled.
  bool attach(std::shared_ptr<connection> Connection);
  void detach();
  bool isCancelled() const;
  void pushHead(response_head Head);
  /// Waits for buffer space until \p Deadline; false if the deadline passes or
  /// the attempt is cancelled.
  bool pushBody(std::string_view Bytes, common::boot_time Deadline);
  /// Ends the response; \p Error is Ok if it is complete.
  void finish(const request::attempt_outcome &Outcome, absl::Status Error);

  // For the reading thread.

  absl::StatusOr<response_head> awaitHead(common::boot_time Deadline);
  absl::StatusOr<std::string> readChunk(common::boot_time Deadline);
  std::optional<request::attempt_outcome>
  awaitOutcome(common::boot_time Deadline);
  bool hasHeadOrEnd() const;
  void cancel();

private:
  bool hasHeadOrEndLocked() const ABSL_EXCLUSIVE_LOCKS_REQUIRED(Mutex);
  bool hasBodyOrEndLocked() const ABSL_EXCLUSIVE_LOCKS_REQUIRED(Mutex);
  bool hasSpaceLocked() const ABSL_EXCLUSIVE_LOCKS_REQUIRED(Mutex);
  bool isFinishedLocked() const ABSL_EXCLUSIVE_LOCKS_REQUIRED(Mutex);
  bool awaitLocked(bool (response_channel::*Condition)() const,
                   common::boot_time Deadline)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(Mutex);

  const size_t MaxBufferedBytes;
  const stream_hooks Hooks;
  mutable absl::Mutex Mutex;
  absl::CondVar Changed;
  std::optional<response_head> Head ABSL_GUARDED_BY(Mutex);
  std::string Body ABSL_GUARDED_BY(Mutex);
  std::optional<request::attempt_outcome> Outcome ABSL_GUARDED_BY(Mutex);
  absl::Status Error ABSL_GUARDED_BY(Mutex);
  bool Cancelled ABSL_GUARDED_BY(Mutex) = false;
  std::shared_ptr<connection> Connection ABSL_GUARDED_BY(Mutex);
};

/// Reads the response of one attempt in flight. Cancels the attempt when
/// destroyed before its end.
class response_stream {
public:
  explicit response_stream(std::shared_ptr<response_channel> Channel);
  ~response_stream();
  response_stream(response_stream &&) noexcept = default;
  response_stream &operator=(response_stream &&) = delete;

  /// Waits for the head of the response. An error carries its error_kind. If
  /// \p Deadline passes first, the error is DeadlineExceeded and the attempt
  /// continues to run.
  absl::StatusOr<response_head> awaitHead(common::boot_time Deadline);

  /// Waits for the next bytes of the body; empty at the end of a complete
  /// response. After an error the response is incomplete, and the connection to
  /// the caller must be closed.
  absl::StatusOr<std::string> readChunk(common::boot_time Deadline);

  /// Waits for the end of the attempt; absent if it still runs at \p Deadline.
  std::optional<request::attempt_outcome>
  awaitOutcome(common::boot_time Deadline);

  /// Whether awaitHead() would return without waiting.
  bool hasHeadOrEnd() const;

  /// Closes the connection to the target, so that the target can stop working
  /// on the request.
  void cancel();

private:
  std::shared_ptr<response_channel> Channel;
};

} // namespace magnolia::net
