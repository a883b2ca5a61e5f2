#pragma once

#include <string>
#include <string_view>

#include "Net/Peer/PeerSocket.h"

/// Raw sockets that let tests violate the protocol.
namespace magnolia::net::testing {

/// Connects to \p Address; invalid on failure.
unique_fd connectRaw(const std::string &Address);

/// Listens on a free port of the loopback address and sets \p Address to it.
unique_fd listenRaw(std::string &Address);

/// Waits for one connection and accepts it; invalid on a timeout.
unique_fd acceptRaw(const unique_fd &Listener);

void writeRaw(const unique_fd &Socket, std::string_view Bytes);

/// Waits for bytes and returns them; empty at the end of the stream or on a
/// timeout.
std::string readRaw(const unique_fd &Socket);

/// Reads until the other side closes the connection; false on a timeout or an
/// error.
bool readToEnd(const unique_fd &Socket);

} // namespace magnolia::net::testing
