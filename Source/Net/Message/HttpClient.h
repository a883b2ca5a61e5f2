#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "Net/Event/EventLoop.h"
#include "Net/Event/TcpStream.h"
#include "Net/Message/MemoryMeter.h"
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
  /// \p Shares: bounds what responses hold, of the connections that share it;
  /// null for no bound on the sum.
  static std::shared_ptr<client_connection>
  connect(event::event_loop &Loop, const sockaddr_in &Address,
          const reader_limits &Limits,
          std::shared_ptr<admission::memory_shares> Shares = nullptr,
          const admission::memory_owner &Owner = {});
  ~client_connection();

  /// Sets the hooks of the next exchange.
  void setHooks(client_hooks NewHooks) { Hooks = std::move(NewHooks); }
  void setKeepaliveLimits(const event::keepalive_limits &Limits);

  /// Sends one request; the connection must be connected and not busy.
  void send(std::string_view Bytes, bool ExpectNoBody) {
    send(Bytes, {}, ExpectNoBody);
  }
  /// The same with a head and a body that are not in one piece.
  void send(std::string_view Head, std::string_view Body, bool ExpectNoBody);

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

  /// Whether the response is larger than what there is room for now, and does
  /// not say how large it will be.
  bool isOverflowing() const {
    return Meter.isWaiting() && !Reader.announcedBytes();
  }

  void close();

private:
  client_connection(event::event_loop &Loop, const reader_limits &Limits,
                    std::shared_ptr<admission::memory_shares> Shares,
                    const admission::memory_owner &Owner);
  void onBytes(std::string_view Bytes);
  /// Stops reading, with \p Bytes pending, until there is room for them.
  void pause(std::string_view Bytes);
  void resume();
  /// Whether there is room for \p Count more bytes, and for what the head
  /// announces.
  bool hasRoomFor(size_t Count);
  bool isTooLarge() const;
  void onEnd(event::stream_end End);
  void deliverResponse();
  void fail(exchange_failure Failure);

  event::event_loop &Loop;
  std::shared_ptr<event::tcp_stream> Stream;
  message_reader Reader;
  memory_meter Meter;
  /// Bytes that were read from the stream and wait for room.
  std::string Pending;
  client_hooks Hooks;
  boot_time LastUsed;
  std::optional<duration> IdleTimeout;
  bool Busy = false;
  bool NotReusable = false;
  /// Responses to other requests in this exchange.
  size_t Skipped = 0;
  /// Interim responses in this exchange.
  size_t Interim = 0;
};

} // namespace magnolia::message
