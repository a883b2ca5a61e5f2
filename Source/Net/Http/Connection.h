#pragma once

#include <atomic>
#include <functional>
#include <string>
#include <string_view>

#include <absl/base/thread_annotations.h>
#include <absl/status/status.h>
#include <absl/synchronization/mutex.h>

#include "Common/Time.h"
#include "Net/Http/Message.h"
#include "Net/Http/Socket.h"

namespace magnolia::http {

/// A caller's TCP connection with its read-ahead buffer. Only one thread at a
/// time reads or writes; others may meanwhile call the disconnect hook or shut
/// the socket down.
class connection {
public:
  explicit connection(descriptor Socket);

  int socket() const { return Socket.get(); }
  const std::string &caller() const { return Caller; }

  enum class fill_result { HeadComplete, NeedMore, TooLarge, Closed };

  /// Reads without blocking until the buffer holds a complete head, the limit
  /// is exceeded or no more bytes are available.
  fill_result fillHead(size_t MaxHeadBytes);

  /// The bytes of the complete head.
  std::string_view head() const;

  /// Reads up to \p Size bytes, buffered ones first, and waits at most
  /// \p Timeout. 0 at the end of the stream, -1 on an error or timeout.
  ssize_t read(char *Bytes, size_t Size, std::chrono::milliseconds Timeout);

  /// Writes all bytes, waiting at most \p Timeout each time the socket is full.
  /// -1 on an error or timeout.
  ssize_t write(const char *Bytes, size_t Size,
                std::chrono::milliseconds Timeout);

  /// Replaces the contents of the buffer with \p Bytes.
  void replaceBuffer(std::string_view Bytes);

  /// Whether the buffer holds unread bytes.
  bool hasBuffered() const { return Position < Buffer.size(); }

  /// Shuts down the sending side, then discards incoming bytes until the caller
  /// closes or for a limited time, so that a reset does not destroy the last
  /// response.
  void shutdownAndLinger();

  /// Sets the hook that the event loop calls when the caller disconnects;
  /// empty: none.
  void setDisconnectHook(std::function<void()> Hook);
  void callDisconnectHook();

  /// Whether the connection has to be closed after the current request.
  std::atomic<bool> MustClose{false};

  /// Whether the caller may still send a body that nobody reads.
  bool HasUnreadBody = false;

  /// When the connection is closed if no worker thread owns it: at the end of
  /// the idle timeout, or of the head timeout once a head has begun.
  std::atomic<common::boot_time> IdleDeadline{common::boot_time::max()};

  /// Whether a partial head is buffered and its deadline is set.
  bool HeadStarted = false;

  /// Whether a worker thread owns the connection.
  std::atomic<bool> Busy{false};

private:
  descriptor Socket;
  std::string Caller;
  std::string Buffer;
  size_t Position = 0;
  size_t HeadSize = 0;
  absl::Mutex HookMutex;
  std::function<void()> DisconnectHook ABSL_GUARDED_BY(HookMutex);
};

} // namespace magnolia::http
