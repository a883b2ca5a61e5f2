#pragma once

#include <string>
#include <string_view>

#include "Net/Peer/PeerSocket.h"

/// Plain blocking sockets that misbehave on purpose.
namespace magnolia::net::testing {

/// Connects to \p Address; reads end after a generous limit.
unique_fd connectRaw(const std::string &Address);

/// Listens on a free port of the loopback address; \p Address gets it.
unique_fd listenRaw(std::string &Address);

/// Accepts one connection, waiting for it.
unique_fd acceptRaw(const unique_fd &Listener);

void writeRaw(const unique_fd &Socket, std::string_view Bytes);

/// Waits for bytes and returns them; empty at the end.
std::string readRaw(const unique_fd &Socket);

/// Reads until the other side closes; false when it did not.
bool readToEnd(const unique_fd &Socket);

} // namespace magnolia::net::testing
