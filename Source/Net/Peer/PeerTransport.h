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

/// A received message.
struct peer_message {
  /// Name of the sending instance.
  std::string From;
  /// The protocol that the body belongs to, such as "quota".
  std::string Type;
  std::string Body;
};

/// Limits of a transport; the defaults suit a fleet on a local network.
struct peer_options {
  /// Longer bodies are rejected by the sender and by the receiver.
  size_t MaxBodyBytes = size_t{256} * 1024;
  /// Total size of the names and values of all headers of one message.
  size_t MaxHeaderBytes = 4096;
  /// Messages and bytes in the queue of one peer; the oldest messages are
  /// dropped first.
  size_t MaxQueuedMessages = 1024;
  size_t MaxQueuedBytes = size_t{4} * 1024 * 1024;
  /// Messages in flight to one peer that it has not acknowledged yet.
  uint32_t MaxStreams = 64;
  /// Total size of the incomplete bodies of one incoming connection.
  size_t MaxPartialBytes = size_t{1024} * 1024;
  /// Further incoming connections are closed immediately.
  size_t MaxIncomingConnections = 8192;
  /// Messages that stay in the queue longer are dropped. A connection is closed
  /// if a message on it is not acknowledged within this time.
  std::chrono::milliseconds MessageLifetime{5000};
  std::chrono::milliseconds ConnectTimeout{1000};
  /// A ping is sent on an outgoing connection that received nothing for this
  /// long.
  std::chrono::milliseconds PingInterval{1000};
  /// An outgoing connection that received nothing for this long is closed and
  /// established again.
  std::chrono::milliseconds PingTimeout{3000};
  /// Delay before the second attempt to connect. It doubles up to MaxBackoff,
  /// and each delay is shortened by a random fraction of up to one half.
  std::chrono::milliseconds FirstBackoff{50};
  std::chrono::milliseconds MaxBackoff{5000};
  /// A peer to which nothing was sent for this long is removed.
  std::chrono::milliseconds IdleTimeout{600000};
};

/// Totals since the start of the transport.
struct peer_counters {
  /// Messages that their receiver acknowledged.
  uint64_t Sent = 0;
  /// Messages that were given up; some of them may have been delivered.
  uint64_t Dropped = 0;
  uint64_t Received = 0;
  /// Incoming streams and connections that exceeded a limit or violated the
  /// protocol.
  uint64_t Rejected = 0;
  uint64_t BytesSent = 0;
  uint64_t BytesReceived = 0;
  /// Outgoing connections that were lost or could not be established.
  uint64_t Reconnects = 0;
  /// Iterations of the event loop; a high rate without traffic indicates a busy
  /// loop.
  uint64_t Wakeups = 0;
};

/// The state of one peer that messages were sent to.
struct peer_state {
  std::string Address;
  bool Connected = false;
  /// When bytes were last received on the outgoing connection to the peer,
  /// which shows that both directions worked.
  std::optional<common::boot_time> LastReceived;
  uint64_t Sent = 0;
  uint64_t Dropped = 0;
  uint64_t Reconnects = 0;
  size_t Queued = 0;
};

class peer_loop;
class peer_table;

/// Sends and receives peer messages on its own thread. Delivery is unreliable:
/// a message is delivered at most once, and messages may be reordered.
/// Thread-safe.
class peer_transport {
public:
  /// Called on the transport's thread; must not block.
  using message_hook = std::function<void(peer_message Message)>;

  /// Binds \p ListenAddress ("IPv4:port"; with port 0 the system chooses a
  /// port) and starts the thread. Fails with InvalidArgument for a malformed
  /// address or name, and with Unavailable if the address cannot be bound.
  static absl::StatusOr<std::unique_ptr<peer_transport>>
  create(std::string_view ListenAddress, std::string_view InstanceName,
         message_hook OnMessage, const peer_options &Options = {});

  /// Closes all connections and joins the thread; queued messages are lost.
  ~peer_transport();
  peer_transport(const peer_transport &) = delete;
  peer_transport &operator=(const peer_transport &) = delete;

  /// The bound address with its actual port.
  const std::string &localAddress() const { return LocalAddress; }
  uint16_t port() const;

  /// Queues a message without blocking. False if it was dropped because its
  /// body is too long, or its type or the address is malformed.
  bool send(std::string_view PeerAddress, std::string_view Type,
            std::string_view Body);

  /// Waits until every queued message is acknowledged or given up; false after
  /// \p Limit.
  bool flush(std::chrono::milliseconds Limit);

  /// Closes the connection to a peer and drops its queued messages.
  void removePeer(std::string_view PeerAddress);

  peer_counters counters() const;

  /// All peers that messages were sent to and that were not removed.
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
