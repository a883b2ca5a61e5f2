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

/// How an exchange on a client connection ended without an answer.
enum class exchange_failure : uint8_t {
  /// The connection was reset or ended before a whole answer.
  Broken,
  /// What came is no answer in the protocol.
  Malformed,
  /// The answer is above its limit.
  TooLarge,
};

/// What the owner of a client connection is told.
struct client_hooks {
  std::function<void()> OnConnected;
  /// Connecting failed; nothing was sent.
  std::function<void()> OnConnectFailed;
  /// A whole answer came, also one that nobody asked for. Interim ones (1xx)
  /// are left out.
  std::function<void(response Response)> OnResponse;
  /// The connection ended while an answer was due.
  std::function<void(exchange_failure Failure)> OnFailure;
  /// The connection ended while it was idle.
  std::function<void()> OnIdleEnd;
};

/// One connection to a server, one request at a time.
class client_connection
    : public std::enable_shared_from_this<client_connection> {
public:
  /// Starts to connect; empty when the system refuses to.
  static std::shared_ptr<client_connection>
  connect(event::event_loop &Loop, const sockaddr_in &Address,
          const reader_limits &Limits);
  ~client_connection();

  /// Takes the hooks of the next exchange.
  void setHooks(client_hooks NewHooks) { Hooks = std::move(NewHooks); }
  void setSilenceLimits(const event::silence_limits &Limits);

  /// Sends one request; the connection must be connected and not busy.
  void send(std::string_view Bytes, bool ExpectNoBody);

  bool isConnected() const { return Stream && Stream->isConnected(); }
  bool isOpen() const { return Stream && Stream->isOpen(); }
  bool isBusy() const { return Busy; }

  /// The answer just told belongs to another request: the one that is due is
  /// still awaited. The connection is not reusable afterwards.
  void keepWaiting();

  /// Whether another request may be sent: the last answer allowed it, all of
  /// the last request was taken, and nothing unread is waiting.
  bool reusable() const;

  /// How long the server said that it keeps the connection when idle.
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
};

} // namespace magnolia::message
