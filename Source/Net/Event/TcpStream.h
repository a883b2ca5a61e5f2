#pragma once

#include <functional>
#include <memory>
#include <netinet/in.h>
#include <string>
#include <string_view>

#include <absl/status/statusor.h>

#include "Net/Event/EventLoop.h"

namespace magnolia::event {

/// How the peer's side of a connection ended.
enum class stream_end : uint8_t {
  /// The peer sent all that it had to send.
  Finished,
  /// Reset, timed out or unreachable: bytes may be missing.
  Broken,
};

/// What the owner of a stream is told.
struct stream_hooks {
  /// An outgoing connection is established.
  std::function<void()> OnConnected;
  std::function<void(std::string_view Bytes)> OnBytes;
  /// Called at most once; the stream may still have unsent bytes.
  std::function<void(stream_end End)> OnEnd;
  /// Everything written so far is handed to the system.
  std::function<void()> OnDrained;
};

/// Limits of a connection that goes silent.
struct silence_limits {
  /// After this time without an acknowledgement of sent bytes the connection
  /// is broken. Zero: the system's own limit.
  duration Unacknowledged{0};
  /// Idle connections are probed after this time and broken when three probes
  /// stay unanswered. Whole seconds; zero: never.
  std::chrono::seconds ProbeAfter{0};
};

/// A non-blocking TCP connection with an unbounded buffer for unsent bytes;
/// owners watch unsent(). After close() no hook is called. An owner that gives
/// it up from within one of its hooks hands it to event_loop::retire().
class tcp_stream {
public:
  /// Takes over a connected, non-blocking descriptor.
  static std::shared_ptr<tcp_stream> adopt(event_loop &Loop, int Descriptor,
                                           stream_hooks Hooks);

  /// Starts to connect. An error here means that no packet was sent.
  static absl::StatusOr<std::shared_ptr<tcp_stream>>
  connect(event_loop &Loop, const sockaddr_in &Address, stream_hooks Hooks);

  ~tcp_stream();
  tcp_stream(const tcp_stream &) = delete;
  tcp_stream &operator=(const tcp_stream &) = delete;

  void write(std::string_view Bytes);

  /// Sends what is unsent, then ends this side. Reading goes on.
  void finishWriting();

  /// Whether the peer has sent bytes or an end that were not read yet, or the
  /// connection broke. Asks the system; meant for the moment before a write
  /// that must not meet a closed connection.
  bool hasPendingInput() const;

  void setSilenceLimits(const silence_limits &Limits);
  void pauseReading(bool Paused);

  size_t unsent() const { return Unsent.size() - SentOfUnsent; }
  bool isOpen() const { return Descriptor >= 0; }
  bool isConnected() const { return Connected; }

  /// Closes at once; unsent bytes are lost.
  void close();

  /// Closes at once and tells the peer that the connection broke.
  void closeWithReset();

private:
  tcp_stream(event_loop &Loop, int Descriptor, stream_hooks Hooks)
      : Loop(Loop), Descriptor(Descriptor), Hooks(std::move(Hooks)) {}
  absl::Status start(uint32_t Events);
  void onReady(uint32_t Events);
  void onConnectResult();
  void readAvailable();
  void flush();
  void updateEvents();
  void end(stream_end End);

  event_loop &Loop;
  int Descriptor;
  stream_hooks Hooks;
  std::weak_ptr<tcp_stream> Self;
  std::string Unsent;
  size_t SentOfUnsent = 0;
  uint32_t Events = 0;
  bool Connected = false;
  bool Paused = false;
  bool EndReported = false;
  bool Finishing = false;
};

} // namespace magnolia::event
