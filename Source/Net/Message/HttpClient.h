#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "Net/Event/EventLoop.h"
#include "Net/Event/TcpStream.h"
#include "Net/Message/Message.h"
#include "Net/Message/MessageReader.h"

namespace magnolia::message {

using event::boot_time;
using event::duration;

/// How an exchange on a client connection ended without a response.
enum class exchange_failure : uint8_t {
  /// The connection was reset or ended before a complete response.
  Broken,
  /// The received bytes are not an HTTP response.
  Malformed,
  /// The response exceeds its size limit.
  TooLarge,
};

/// Callbacks to the owner of a client connection.
struct client_hooks {
  std::function<void()> OnConnected;
  /// Connecting failed; nothing was sent.
  std::function<void()> OnConnectFailed;
  /// Bytes of a response were received, which is not complete yet.
  std::function<void()> OnProgress;
  /// A complete response was received; it may belong to another request, see
  /// keepWaiting(). Interim responses (1xx) are skipped.
  std::function<void(response Response)> OnResponse;
  /// The exchange failed while a response was awaited.
  std::function<void(exchange_failure Failure)> OnFailure;
  /// The idle connection ended or received unsolicited bytes.
  std::function<void()> OnIdleEnd;
};

/// One connection to a server, one request at a time.
class client_connection
    : public std::enable_shared_from_this<client_connection> {
public:
  /// Starts to connect; null if the system reports an error.
  static std::shared_ptr<client_connection>
  connect(event::event_loop &Loop, const sockaddr_in &Address,
          const reader_limits &Limits);
  ~client_connection();

  /// Sets the hooks of the next exchange.
  void setHooks(client_hooks NewHooks) { Hooks = std::move(NewHooks); }
  void setKeepaliveLimits(const event::keepalive_limits &Limits);

  /// Sends one request; the connection must be connected and not busy.
  void send(std::string_view Bytes, bool ExpectNoBody);

  bool isConnected() const { return Stream && Stream->isConnected(); }
  bool isOpen() const { return Stream && Stream->isOpen(); }
  bool isBusy() const { return Busy; }

  /// The response just reported belongs to another request: keeps waiting for
  /// the expected one. The connection is not reusable afterwards.
  void keepWaiting();

  /// Whether another request may be sent: the last response allowed it, the
  /// last request was sent completely, and no unread bytes are pending.
  bool reusable() const;

  /// The idle timeout that the server announced in its Keep-Alive header.
  std::optional<duration> serverIdleTimeout() const { return IdleTimeout; }
  boot_time lastUsed() const { return LastUsed; }

  void close();

private:
  client_connection(event::event_loop &Loop, const reader_limits &Limits)
      : Loop(Loop), Reader(message_kind::Response, Limits),
        LastUsed(Loop.now()) {}
  void onBytes(std::string_view Bytes);
  void onEnd(event::stream_end End);
  void deliverResponse();
  void fail(exchange_failure Failure);

  event::event_loop &Loop;
  std::shared_ptr<event::tcp_stream> Stream;
  message_reader Reader;
  client_hooks Hooks;
  boot_time LastUsed;
  std::optional<duration> IdleTimeout;
  bool Busy = false;
  bool NotReusable = false;
  /// Responses of this exchange that did not end it: interim ones and those of
  /// other requests.
  size_t Skipped = 0;
};

} // namespace magnolia::message
