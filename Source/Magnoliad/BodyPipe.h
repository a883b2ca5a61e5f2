#pragma once

#include <string>
#include <string_view>

#include <absl/base/thread_annotations.h>
#include <absl/status/statusor.h>
#include <absl/synchronization/mutex.h>
#include <absl/types/span.h>

namespace magnolia::daemon {

/// Carries a request body from the thread that reads it from the caller to the
/// one that writes it to a target. Holds a bounded number of bytes.
class body_pipe {
public:
  explicit body_pipe(size_t Limit) : Limit(Limit) {}

  /// Waits for room; false once the reader has closed.
  bool push(std::string_view Bytes);

  /// No more bytes come; \p Complete tells whether the body came whole.
  void finish(bool Complete);

  /// The next bytes, zero at the end of a whole body. An error ends the attempt
  /// where the body did not come whole.
  absl::StatusOr<size_t> read(absl::Span<char> Buffer);

  /// The reader needs no more bytes.
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
