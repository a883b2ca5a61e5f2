#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include <absl/base/thread_annotations.h>
#include <absl/container/flat_hash_map.h>
#include <absl/status/statusor.h>
#include <absl/synchronization/mutex.h>

#include "Net/Peer/PeerTransport.h"

namespace magnolia::daemon {

/// Sends and receives messages by instance name, on top of the peer transport,
/// which uses addresses. Thread-safe.
class peer_messenger {
public:
  using handler =
      std::function<void(const std::string &From, std::string_view Body)>;

  /// Binds \p Address for peers. \p Name is the name of this instance.
  static absl::StatusOr<std::unique_ptr<peer_messenger>>
  create(const std::string &Address, const std::string &Name);

  /// Sets the handler for messages of \p Type; call before start().
  void subscribe(std::string_view Type, handler Handler);

  /// Starts the delivery of messages.
  void start();

  /// Stops the delivery; no message is delivered after this has returned.
  void stop();

  /// Sets the address of \p Peer.
  void setAddress(const std::string &Peer, const std::string &Address);

  /// Sends a message; drops it if the address of the peer is unknown. Never
  /// blocks.
  void send(const std::string &Peer, std::string_view Type,
            std::string_view Body);

  /// Sends a message to all \p Peers.
  void sendAll(const std::vector<std::string> &Peers, std::string_view Type,
               std::string_view Body);

  const std::string &address() const { return Transport->localAddress(); }
  net::peer_transport &transport() { return *Transport; }

private:
  peer_messenger() = default;
  void deliver(const net::peer_message &Message);

  absl::Mutex Mutex;
  absl::flat_hash_map<std::string, std::string>
      Addresses ABSL_GUARDED_BY(Mutex);
  absl::Mutex DeliveryMutex;
  absl::flat_hash_map<std::string, handler>
      Handlers ABSL_GUARDED_BY(DeliveryMutex);
  bool Delivering ABSL_GUARDED_BY(DeliveryMutex) = false;
  // Last member: its thread delivers messages through the members above.
  std::unique_ptr<net::peer_transport> Transport;
};

} // namespace magnolia::daemon
