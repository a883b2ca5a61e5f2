#pragma once

#include <cstdint>
#include <string>

#include <absl/status/statusor.h>

namespace magnolia::stand_ins {

/// A socket that is closed with its owner.
class socket_handle {
public:
  socket_handle() = default;
  explicit socket_handle(int Descriptor) : Descriptor(Descriptor) {}
  ~socket_handle() { reset(); }
  socket_handle(socket_handle &&Other) noexcept : Descriptor(Other.release()) {}
  socket_handle &operator=(socket_handle &&Other) noexcept;

  int get() const { return Descriptor; }
  bool isOpen() const { return Descriptor >= 0; }
  int release();
  void reset();

  /// Closes with a reset, so that the peer sees no orderly end.
  void abort();

private:
  int Descriptor = -1;
};

/// Listens on "IPv4:port" without blocking.
absl::StatusOr<socket_handle> listenOn(const std::string &Address);

/// The port of a listening socket.
uint16_t portOf(const socket_handle &Socket);

/// Starts to connect to "IPv4:port".
absl::StatusOr<socket_handle> startConnect(const std::string &Address);

/// Accepts one connection; not open if there is none.
socket_handle acceptOn(const socket_handle &Listener);

} // namespace magnolia::stand_ins
