#pragma once

#include <functional>
#include <memory>

#include <absl/status/statusor.h>

#include "Net/Event/EventLoop.h"

namespace magnolia::event {

/// A listening TCP socket on an event loop. Accepts connections until it is
/// destroyed.
class listener {
public:
  /// Takes ownership of an accepted, non-blocking descriptor.
  using accept_hook = std::function<void(int Descriptor)>;

  /// Binds \p Address ("IPv4:port"; port 0 lets the system choose).
  static absl::StatusOr<std::unique_ptr<listener>>
  open(event_loop &Loop, std::string_view Address, accept_hook OnAccept);
  ~listener();
  listener(const listener &) = delete;
  listener &operator=(const listener &) = delete;

  /// The bound address, "IPv4:port".
  const std::string &address() const { return Address; }

private:
  listener(event_loop &Loop, int Descriptor, accept_hook OnAccept)
      : Loop(Loop), Descriptor(Descriptor), OnAccept(std::move(OnAccept)) {}
  void acceptPending();

  event_loop &Loop;
  const int Descriptor;
  accept_hook OnAccept;
  std::string Address;
};

} // namespace magnolia::event
