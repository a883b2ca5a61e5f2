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

/// Why a read or write on a connection failed.
enum class io_error : uint8_t { None, Closed, DeadlineExceeded, Cancelled };

/// A TCP connection that counts the bytes read and written. Reads and writes
/// fail after a deadline and can be cancelled by another thread.
class connection {
public:
  /// Connects to "IPv4:port". Fails with InvalidArgument for a malformed
  /// address, Unavailable if the connection is refused or the address is
  /// unreachable, and DeadlineExceeded after \p Deadline.
  static absl::StatusOr<std::shared_ptr<connection>>
  open(const std::string &Address, common::boot_time Deadline);

  /// Takes ownership of a connected socket.
  explicit connection(int Descriptor);
  ~connection();
  connection(const connection &) = delete;
  connection &operator=(const connection &) = delete;

  /// The number of bytes read or written, or -1 with lastError() set. The end
  /// of the stream is reported as io_error::Closed.
  ssize_t read(absl::Span<char> Buffer);
  ssize_t write(absl::Span<const char> Bytes);

  /// Sets the time after which reads and writes that would block fail.
  void setDeadline(common::boot_time When) { Deadline = When; }

  /// Shuts down the connection, which ends blocked reads and writes.
  /// Thread-safe.
  void cancel();

  /// Whether no input is pending and the other side has not closed the
  /// connection.
  bool isIdle() const;

  io_error lastError() const { return LastError; }
  uint64_t bytesWritten() const { return BytesWritten; }
  uint64_t bytesRead() const { return BytesRead; }
  int descriptor() const { return Descriptor; }

  /// Waits until the other side sends data or closes the connection; false
  /// after \p When.
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
