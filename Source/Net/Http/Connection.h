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

/// One caller's TCP connection with the bytes that were read ahead. Only one
/// thread at a time reads or writes; the event loop may end it meanwhile.
class connection {
public:
  explicit connection(descriptor Socket);

  int socket() const { return Socket.get(); }
  const std::string &caller() const { return Caller; }

  enum class fill_result { HeadComplete, NeedMore, TooLarge, Closed };

  /// Reads without waiting until a whole head is there.
  fill_result fillHead(size_t MaxHeadBytes);

  /// The bytes of the complete head.
  std::string_view head() const;

  /// Reads up to \p Size bytes, buffered ones first, waiting at most the read
  /// timeout. 0 at the end of the stream, -1 on error.
  ssize_t read(char *Bytes, size_t Size, std::chrono::milliseconds Timeout);

  /// Writes everything or returns -1.
  ssize_t write(const char *Bytes, size_t Size,
                std::chrono::milliseconds Timeout);

  /// Puts \p Bytes in place of everything buffered.
  void replaceBuffer(std::string_view Bytes);

  /// Whether bytes of a following request were read already.
  bool hasBuffered() const { return Position < Buffer.size(); }

  /// Stops sending, then discards what still comes for a moment, so that the
  /// last answer is not destroyed by a reset.
  void lingerAndShut();

  /// The hook that the event loop calls when the caller closes; empty: none.
  void setDisconnectHook(std::function<void()> Hook);
  void callDisconnectHook();

  /// Set when the connection must not serve a further request.
  std::atomic<bool> MustClose{false};

  /// When an idle connection is closed.
  std::atomic<common::boot_time> IdleDeadline{common::boot_time::max()};

  /// Whether a part of a head is buffered and its deadline was set.
  bool HeadStarted = false;

  /// Whether a worker holds the connection.
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
