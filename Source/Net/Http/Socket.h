#pragma once

#include <cstdint>
#include <string>
#include <utility>

#include <absl/status/statusor.h>

/// Owned file descriptors and IPv4 TCP sockets.
namespace magnolia::http {

/// Owns a file descriptor and closes it on destruction.
class descriptor {
public:
  descriptor() = default;
  explicit descriptor(int Number) : Number(Number) {}
  ~descriptor();
  descriptor(descriptor &&Other) noexcept
      : Number(std::exchange(Other.Number, -1)) {}
  descriptor &operator=(descriptor &&Other) noexcept;
  descriptor(const descriptor &) = delete;
  descriptor &operator=(const descriptor &) = delete;

  int get() const { return Number; }
  bool valid() const { return Number >= 0; }

private:
  int Number = -1;
};

/// Opens a listening TCP socket on "IPv4:port" that no other process can share.
/// Connections of an earlier process in TIME_WAIT do not prevent it.
absl::StatusOr<descriptor> listenOn(const std::string &Address);

/// The address that \p Socket is bound to, as "IPv4:port".
std::string localAddressOf(int Socket);

/// The address of the peer, as "IPv4:port".
std::string peerAddressOf(int Socket);

/// The port part of "IPv4:port".
uint16_t portOf(const std::string &Address);

} // namespace magnolia::http
