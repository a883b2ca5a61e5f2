#pragma once

#include <functional>
#include <memory>
#include <netinet/in.h>
#include <string_view>

#include <absl/status/statusor.h>

#include "Net/Event/EventLoop.h"

namespace magnolia::event {

/// A UDP socket on an event loop.
class datagram_socket {
public:
  using receive_hook =
      std::function<void(const sockaddr_in &From, std::string_view Bytes)>;

  /// Binds \p Address ("IPv4:port"; port 0 lets the system choose).
  static absl::StatusOr<std::unique_ptr<datagram_socket>>
  open(event_loop &Loop, std::string_view Address, receive_hook OnReceive);
  ~datagram_socket();
  datagram_socket(const datagram_socket &) = delete;
  datagram_socket &operator=(const datagram_socket &) = delete;

  /// Sends one datagram, which may be lost. False when the system rejects it.
  bool send(const sockaddr_in &To, std::string_view Bytes);

  /// The bound address, "IPv4:port".
  const std::string &address() const { return Address; }

private:
  datagram_socket(event_loop &Loop, int Descriptor, receive_hook OnReceive)
      : Loop(Loop), Descriptor(Descriptor), OnReceive(std::move(OnReceive)) {}
  void receivePending();

  event_loop &Loop;
  const int Descriptor;
  receive_hook OnReceive;
  std::string Address;
};

} // namespace magnolia::event
