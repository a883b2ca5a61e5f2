#pragma once

#include <atomic>
#include <cstdint>
#include <memory>
#include <string>
#include <sys/types.h>

#include <absl/base/thread_annotations.h>
#include <absl/status/statusor.h>
#include <absl/synchronization/mutex.h>
#include <absl/types/span.h>

#include "Common/Time.h"

namespace magnolia::net {

/// Why reading or writing on a connection stopped.
enum class io_error : uint8_t { None, Closed, DeadlineExceeded, Cancelled };

/// A TCP connection whose reads and writes end at a deadline and can be
/// cancelled by another thread, and which counts every byte.
class connection {
public:
  /// Connects to "IPv4:port". Unavailable when refused or unreachable,
  /// DeadlineExceeded past \p Deadline.
  static absl::StatusOr<std::shared_ptr<connection>>
  open(const std::string &Address, common::boot_time Deadline);

  /// Takes over a connected socket.
  explicit connection(int Descriptor);
  ~connection();
  connection(const connection &) = delete;
  connection &operator=(const connection &) = delete;

  /// Bytes read or written, or -1 with lastError() set; the end of the stream
  /// counts as io_error::Closed.
  ssize_t read(absl::Span<char> Buffer);
  ssize_t write(absl::Span<const char> Bytes);

  /// Reads and writes fail after \p When.
  void setDeadline(common::boot_time When) { Deadline = When; }

  /// Shuts the connection down; a blocked read or write returns. Thread-safe.
  void cancel();

  /// Whether nothing has arrived and the peer has not closed its side.
  bool isIdle() const;

  io_error lastError() const { return LastError; }
  uint64_t bytesWritten() const { return BytesWritten; }
  uint64_t bytesRead() const { return BytesRead; }
  int descriptor() const { return Descriptor; }

  /// Waits until the peer closes or sends; false past \p When.
  bool awaitReadable(common::boot_time When) const;

private:
  bool awaitReady(short Events);
  ssize_t fail(io_error Error);

  const int Descriptor;
  common::boot_time Deadline = common::boot_time::max();
  std::atomic<bool> Cancelled = false;
  io_error LastError = io_error::None;
  uint64_t BytesWritten = 0;
  uint64_t BytesRead = 0;
};

} // namespace magnolia::net
