#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include <absl/container/flat_hash_map.h>

#include "Common/Time.h"
#include "Net/Peer/PeerTransport.h"

struct nghttp2_session;

namespace magnolia::net {

/// Callbacks of a session. receive() calls them.
struct session_hooks {
  /// Server side: a complete message was received.
  std::function<void(peer_message Message)> OnMessage;
  /// Server side: a stream was rejected because it exceeded a limit or was
  /// malformed.
  std::function<void()> OnRejected;
  /// Client side: a message was acknowledged or failed.
  std::function<void(bool Delivered)> OnCompleted;
};

/// One side of an HTTP/2 connection, independent of its socket. Each message is
/// a POST request that the server side acknowledges with status 204.
class peer_session {
public:
  static std::unique_ptr<peer_session> makeClient(const peer_options &Options,
                                                  session_hooks Hooks);
  static std::unique_ptr<peer_session> makeServer(const peer_options &Options,
                                                  session_hooks Hooks);
  ~peer_session();
  peer_session(const peer_session &) = delete;
  peer_session &operator=(const peer_session &) = delete;

  /// Processes bytes from the peer. False if they violate the protocol; the
  /// connection must then be closed.
  bool receive(std::string_view Bytes);

  /// Appends bytes for the peer to \p Out until it holds at least \p Limit
  /// bytes or nothing is left to write. False on a fatal error.
  bool fill(std::string &Out, size_t Limit);

  /// Client side: starts sending one message.
  bool submit(std::string_view From, std::string_view Type, std::string Body,
              common::boot_time Now);

  /// Sends a ping, which the peer must acknowledge.
  void ping();

  /// Whether the session has ended, with or without an error, and accepts no
  /// more bytes.
  bool finished() const;

  /// Number of messages that have started and not ended.
  size_t openStreams() const { return Streams.size(); }

  /// Start time of the oldest open message.
  std::optional<common::boot_time> oldestStart() const;

private:
  friend struct session_callbacks;

  struct stream {
    peer_message Message;
    common::boot_time Started;
    bool IsPost = false;
    bool Acknowledged = false;
    size_t HeaderBytes = 0;
    size_t BytesWritten = 0;
  };

  peer_session(const peer_options &Options, session_hooks Hooks);
  bool open(bool IsServer);
  void submitSettings();
  bool acceptHeader(int32_t Id, std::string_view Name, std::string_view Value);
  bool acceptBody(int32_t Id, std::string_view Chunk);
  void finishMessage(int32_t Id);
  void reject(int32_t Id);
  void closeStream(int32_t Id);

  peer_options Options;
  session_hooks Hooks;
  nghttp2_session *Session = nullptr;
  bool IsServer = false;
  size_t PartialBytes = 0;
  absl::flat_hash_map<int32_t, std::unique_ptr<stream>> Streams;
};

} // namespace magnolia::net
