#pragma once

#include <chrono>
#include <cstddef>
#include <string>

#include <absl/status/statusor.h>

#include "Platform/Services.h"

/// Client of the platform's HTTP interface.
namespace magnolia::net {

struct platform_client_options {
  /// "IPv4:port" of the platform.
  std::string Address;
  std::chrono::milliseconds ConnectTimeout{1000};
  /// Longest wait for bytes of a response.
  std::chrono::milliseconds ResponseTimeout{3000};
  /// Concurrent calls; further ones wait for at most the response timeout and
  /// then fail as Unavailable.
  size_t MaxConnections = 4;
};

/// Services that call the platform over a connection pool. They keep the pool
/// alive and may be copied and used by any thread. No connection is opened
/// before the first call. InvalidArgument for an invalid address.
absl::StatusOr<platform::services>
connectPlatform(const platform_client_options &Options);

} // namespace magnolia::net
