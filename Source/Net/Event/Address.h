#pragma once

#include <netinet/in.h>
#include <string>
#include <string_view>

#include <absl/status/statusor.h>

namespace magnolia::event {

/// Converts an IPv4 address in host byte order and a port.
sockaddr_in toSocketAddress(uint32_t HostOrderIp, uint16_t Port);

/// Parses "IPv4:port"; InvalidArgument for anything else.
absl::StatusOr<sockaddr_in> parseAddress(std::string_view Text);

/// Formats \p Address as "IPv4:port".
std::string formatAddress(const sockaddr_in &Address);

/// The address that \p Descriptor is bound to.
absl::StatusOr<sockaddr_in> boundAddress(int Descriptor);

} // namespace magnolia::event
