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

/// Calls from the receiving thread, without a lock held.
struct stream_hooks {
  /// The head has come or the attempt has ended.
  std::function<void()> HeadOrEnd;
  /// The attempt has ended; called once, before the last HeadOrEnd.
  std::function<void(const request::attempt_outcome &)> Ended;
};

/// Carries one answer from the thread that receives it to the one that passes
/// it on. Holds a bounded number of body bytes.
class response_channel {
public:
  response_channel(size_t MaxBufferedBytes, stream_hooks Hooks);

  // The receiving thread.

  /// Names the connection that cancel() shuts down; false once cancelled.
  bool attach(std::shared_ptr<connection> Connection);
  void detach();
  bool isCancelled() const;
  void pushHead(response_head Head);
  /// Waits for room until \p Deadline; false past it or once cancelled.
  bool pushBody(std::string_view Bytes, common::boot_time Deadline);
  /// Ends the answer; \p Error is Ok for a whole one.
  void finish(const request::attempt_outcome &Outcome, absl::Status Error);

  // The reading thread.

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

/// One attempt in flight, as its caller sees it. Cancels the attempt when
/// dropped before its end.
class response_stream {
public:
  explicit response_stream(std::shared_ptr<response_channel> Channel);
  ~response_stream();
  response_stream(response_stream &&) noexcept = default;
  response_stream &operator=(response_stream &&) = delete;

  /// The head of the answer. An error carries its kind; DeadlineExceeded past
  /// \p Deadline, after which the attempt still runs.
  absl::StatusOr<response_head> awaitHead(common::boot_time Deadline);

  /// The next bytes of the body; empty once the whole answer has come. After
  /// an error the bytes so far are no whole answer and the connection to the
  /// caller must be cut.
  absl::StatusOr<std::string> readChunk(common::boot_time Deadline);

  /// What became of the attempt; absent while it runs past \p Deadline.
  std::optional<request::attempt_outcome>
  awaitOutcome(common::boot_time Deadline);

  /// Whether awaitHead would return at once.
  bool hasHeadOrEnd() const;

  /// Closes the connection to the target, which tells it to stop.
  void cancel();

private:
  std::shared_ptr<response_channel> Channel;
};

} // namespace magnolia::net
