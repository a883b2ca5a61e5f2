#pragma once

#include <string>
#include <string_view>

#include <absl/base/thread_annotations.h>
#include <absl/status/statusor.h>
#include <absl/synchronization/mutex.h>
#include <absl/types/span.h>

namespace magnolia::daemon {

/// Bounded buffer that passes a request body from the thread that reads it from
/// the caller to the thread that writes it to a target.
class body_pipe {
public:
  explicit body_pipe(size_t Limit) : Limit(Limit) {}

  /// Blocks until there is space; returns false once the reader has closed the
  /// pipe.
  bool push(std::string_view Bytes);

  /// Marks the end of the body; \p Complete is false if the body was cut short.
  void finish(bool Complete);

  /// Blocks for the next bytes and returns their number, zero at the end of a
  /// complete body. If the body is incomplete, returns an error that ends the
  /// attempt.
  absl::StatusOr<size_t> read(absl::Span<char> Buffer);

  /// Called by the reader when it needs no more bytes.
  void close();

private:
  bool hasSpace() const ABSL_EXCLUSIVE_LOCKS_REQUIRED(Mutex) {
    return Closed || Bytes.size() < Limit;
  }
  bool hasBytesOrEnd() const ABSL_EXCLUSIVE_LOCKS_REQUIRED(Mutex) {
    return Closed || Finished || !Bytes.empty();
  }

  const size_t Limit;
  absl::Mutex Mutex;
  std::string Bytes ABSL_GUARDED_BY(Mutex);
  bool Finished ABSL_GUARDED_BY(Mutex) = false;
  bool Complete ABSL_GUARDED_BY(Mutex) = false;
  bool Closed ABSL_GUARDED_BY(Mutex) = false;
};

} // namespace magnolia::daemon
