#pragma once

#include <string>
#include <string_view>
#include <utility>

#include <absl/status/statusor.h>

/// Non-blocking TCP sockets of the peer transport.
namespace magnolia::net {

/// Owns a file descriptor and closes it on destruction.
class unique_fd {
public:
  unique_fd() = default;
  explicit unique_fd(int Descriptor) : Descriptor(Descriptor) {}
  ~unique_fd() { reset(); }
  unique_fd(unique_fd &&Other) noexcept
      : Descriptor(std::exchange(Other.Descriptor, -1)) {}
  unique_fd &operator=(unique_fd &&Other) noexcept;

  int get() const { return Descriptor; }
  bool valid() const { return Descriptor >= 0; }
  void reset();

private:
  int Descriptor = -1;
};

/// Listens on "IPv4:port". SO_REUSEPORT is not set, so that a second process
/// gets an error instead of a part of the connections.
absl::StatusOr<unique_fd> listenTcp(std::string_view Address);

/// The address that \p Socket is bound to, as "IPv4:port".
absl::StatusOr<std::string> boundAddress(const unique_fd &Socket);

/// Starts connecting to "IPv4:port"; the socket becomes writable when the
/// connection is established or has failed.
absl::StatusOr<unique_fd> startConnect(std::string_view Address);

/// Accepts one connection; invalid if none is pending.
unique_fd acceptTcp(const unique_fd &Listener);

/// Returns and clears the pending error of \p Socket; zero if there is none.
int takeSocketError(const unique_fd &Socket);

} // namespace magnolia::net
