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

/// Messages to and from peers by instance name, on top of the transport that
/// knows addresses. Thread-safe.
class peer_messenger {
public:
  using handler =
      std::function<void(const std::string &From, std::string_view Body)>;

  /// Binds \p Address for peers. \p Name is how peers know this instance.
  static absl::StatusOr<std::unique_ptr<peer_messenger>>
  create(const std::string &Address, const std::string &Name);

  /// Handles messages of \p Type; set before start().
  void subscribe(std::string_view Type, handler Handler);

  /// Messages are delivered from now on.
  void start();

  /// No message is delivered after this returned.
  void stop();

  /// Where \p Peer is reached from now on.
  void setAddress(const std::string &Peer, const std::string &Address);

  /// Sends if the peer's address is known; never blocks.
  void send(const std::string &Peer, std::string_view Type,
            std::string_view Body);

  /// Sends to every name of \p Peers.
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
  // Last: its thread delivers into what stands above.
  std::unique_ptr<net::peer_transport> Transport;
};

} // namespace magnolia::daemon
