#pragma once

#include <functional>
#include <memory>
#include <netinet/in.h>
#include <optional>
#include <string>
#include <string_view>

#include <absl/status/statusor.h>

#include "Net/Event/EventLoop.h"

namespace magnolia::event {

/// How the peer's side of a connection ended.
enum class stream_end : uint8_t {
  /// The peer shut down its sending side.
  Finished,
  /// Reset, timed out or unreachable: bytes may be missing.
  Broken,
};

/// Callbacks to the owner of a stream.
struct stream_hooks {
  /// An outgoing connection is established.
  std::function<void()> OnConnected;
  std::function<void(std::string_view Bytes)> OnBytes;
  /// Called at most once; the stream may still have unsent bytes.
  std::function<void(stream_end End)> OnEnd;
  /// All bytes written so far were passed to the system.
  std::function<void()> OnDrained;
};

/// Time limits for detecting a peer that no longer responds.
struct keepalive_limits {
  /// The connection breaks when sent bytes stay unacknowledged for this time,
  /// or the peer has no room for more. Zero: the system's default.
  duration Unacknowledged{0};
  /// Idle connections are probed after this time and break when three probes
  /// get no reply. Whole seconds; zero: no probes.
  std::chrono::seconds ProbeAfter{0};
  /// Whether a peer that has acknowledged all it was sent may have no room for
  /// more as long as it likes. The owner limits the time in another way.
  bool MayLackRoom = false;
};

/// A non-blocking TCP connection. The buffer for unsent bytes is unbounded;
/// owners have to check unsent(). After close() no hook is called. An owner
/// that releases the stream from within one of its hooks passes it to
/// event_loop::retire().
class tcp_stream {
public:
  /// Takes ownership of a connected, non-blocking descriptor.
  static std::shared_ptr<tcp_stream> adopt(event_loop &Loop, int Descriptor,
                                           stream_hooks Hooks);

  /// Starts to connect. An error here means that no data was sent.
  static absl::StatusOr<std::shared_ptr<tcp_stream>>
  connect(event_loop &Loop, const sockaddr_in &Address, stream_hooks Hooks);

  ~tcp_stream();
  tcp_stream(const tcp_stream &) = delete;
  tcp_stream &operator=(const tcp_stream &) = delete;

  void write(std::string_view Bytes);

  /// The same for many bytes, which are not copied if none are unsent.
  void writeLarge(std::string Bytes);

  /// Sends the unsent bytes, then shuts down the sending side. Reading
  /// continues.
  void finishWriting();

  /// Whether bytes or the end of the stream wait to be read, or the connection
  /// is broken. Makes a system call; meant to be called right before a write
  /// that must not go to a closed connection.
  bool hasPendingInput() const;

  void setKeepaliveLimits(const keepalive_limits &GivenLimits);
  void pauseReading(bool Paused);

  size_t unsent() const { return Unsent.size() - SentOfUnsent; }
  bool isOpen() const { return Descriptor >= 0; }
  bool isConnected() const { return Connected; }

  /// Closes at once; unsent bytes are lost.
  void close();

  /// Closes at once with a TCP reset; unsent bytes are lost.
  void closeWithReset();

private:
  tcp_stream(event_loop &Loop, int Descriptor, stream_hooks Hooks)
      : Loop(Loop), Descriptor(Descriptor), Hooks(std::move(Hooks)) {}
  absl::Status start(uint32_t Events);
  /// Sends what the system accepts at once; returns how many bytes.
  size_t sendNow(std::string_view Bytes);
  void onReady(uint32_t Events);
  void onConnectResult();
  void readAvailable();
  void flush();
  void updateEvents();
  void end(stream_end End);
  /// Checks now and then whether the peer has room, until it has acknowledged
  /// all bytes.
  void watchRoom();
  void checkRoom();
  void limitUnacknowledged(bool Limit);

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
  keepalive_limits Limits;
  /// Whether the system breaks the connection at Limits.Unacknowledged.
  bool IsLimited = false;
  std::optional<event_loop::timer_id> RoomTimer;
};

} // namespace magnolia::event
