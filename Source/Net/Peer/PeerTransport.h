#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <absl/status/statusor.h>

#include "Common/Time.h"

/// One-way messages between instances over HTTP/2 streams.
namespace magnolia::net {

/// A message as its receiver sees it.
struct peer_message {
  /// Name of the sending instance.
  std::string From;
  /// Names the protocol part that handles the body, such as "quota".
  std::string Type;
  std::string Body;
};

/// Bounds of a transport; the defaults suit a fleet on a local network.
struct peer_options {
  /// A longer body is refused by the sender and by the receiver.
  size_t MaxBodyBytes = size_t{256} * 1024;
  /// Name and value bytes of all headers of one message.
  size_t MaxHeaderBytes = 4096;
  /// Messages and bytes that wait for one peer; the oldest is dropped first.
  size_t MaxQueuedMessages = 1024;
  size_t MaxQueuedBytes = size_t{4} * 1024 * 1024;
  /// Messages on their way to one peer that it has not acknowledged yet.
  uint32_t MaxStreams = 64;
  /// Unfinished bodies that one incoming connection may hold.
  size_t MaxPartialBytes = size_t{1024} * 1024;
  /// Incoming connections; more are closed at once.
  size_t MaxIncomingConnections = 8192;
  /// A message that waited longer for its peer is dropped.
  std::chrono::milliseconds MessageLifetime{5000};
  std::chrono::milliseconds ConnectTimeout{1000};
  /// A connection that heard nothing for this long sends a ping.
  std::chrono::milliseconds PingInterval{1000};
  /// A connection that heard nothing for this long is closed and rebuilt.
  std::chrono::milliseconds PingTimeout{3000};
  /// Delay before the second attempt to connect; it doubles up to the maximum
  /// and each delay is shortened by a random part of up to a half.
  std::chrono::milliseconds FirstBackoff{50};
  std::chrono::milliseconds MaxBackoff{5000};
  /// A peer to which nothing was sent for this long is forgotten.
  std::chrono::milliseconds IdleTimeout{600000};
};

/// Totals since the start of the transport.
struct peer_counters {
  /// Messages that their receiver acknowledged.
  uint64_t Sent = 0;
  /// Messages that were given up; a few of them may have arrived.
  uint64_t Dropped = 0;
  uint64_t Received = 0;
  /// Incoming streams and connections that broke a bound or the protocol.
  uint64_t Rejected = 0;
  uint64_t BytesSent = 0;
  uint64_t BytesReceived = 0;
  /// Outgoing connections that were lost or could not be made.
  uint64_t Reconnects = 0;
  /// Rounds of the event loop; many while nothing happens show a busy loop.
  uint64_t Wakeups = 0;
};

/// What is known of one peer that messages were sent to.
struct peer_state {
  std::string Address;
  bool Connected = false;
  /// When bytes last came back from the peer on the connection to it, which
  /// shows that both directions worked.
  std::optional<common::boot_time> LastReceived;
  uint64_t Sent = 0;
  uint64_t Dropped = 0;
  uint64_t Reconnects = 0;
  size_t Queued = 0;
};

class peer_loop;
class peer_table;

/// Sends and receives peer messages on one thread of its own. Delivery is
/// unreliable: a message arrives once or not at all, and messages may overtake
/// one another. Thread-safe.
class peer_transport {
public:
  /// Called on the transport's thread, which it must not block.
  using message_hook = std::function<void(peer_message Message)>;

  /// Binds \p ListenAddress ("IPv4:port", port 0 lets the system choose) and
  /// starts. Fails with InvalidArgument on a malformed address or name, and
  /// with Unavailable when the address cannot be bound.
  static absl::StatusOr<std::unique_ptr<peer_transport>>
  create(std::string_view ListenAddress, std::string_view InstanceName,
         message_hook OnMessage, const peer_options &Options = {});

  /// Closes every connection and joins the thread; queued messages are lost.
  ~peer_transport();
  peer_transport(const peer_transport &) = delete;
  peer_transport &operator=(const peer_transport &) = delete;

  /// The bound address with its real port.
  const std::string &localAddress() const { return LocalAddress; }
  uint16_t port() const;

  /// Queues a message and returns at once. False when it was dropped here: its
  /// body is too long, or the type or address is malformed.
  bool send(std::string_view PeerAddress, std::string_view Type,
            std::string_view Body);

  /// Waits until every queued message is acknowledged or given up, at most
  /// \p Limit. False when some were left.
  bool flush(std::chrono::milliseconds Limit);

  /// Closes the connection to a peer and drops what waits for it.
  void removePeer(std::string_view PeerAddress);

  peer_counters counters() const;

  /// Every peer that messages were sent to and that was not forgotten.
  std::vector<peer_state> peers() const;

  /// See peer_state::LastReceived.
  std::optional<common::boot_time>
  lastReceived(std::string_view PeerAddress) const;

private:
  peer_transport(std::unique_ptr<peer_table> Table,
                 std::unique_ptr<peer_loop> Loop, std::string LocalAddress,
                 const peer_options &Options);

  peer_options Options;
  std::string LocalAddress;
  std::unique_ptr<peer_table> Table;
  std::unique_ptr<peer_loop> Loop;
};

} // namespace magnolia::net
