#pragma once

#include <chrono>
#include <cstddef>
#include <string>

#include <absl/status/statusor.h>

#include "Platform/Services.h"

/// The platform's services over HTTP.
namespace magnolia::net {

struct platform_client_options {
  /// "IPv4:port" of the platform.
  std::string Address;
  std::chrono::milliseconds ConnectTimeout{1000};
  /// Longest wait for bytes of an answer.
  std::chrono::milliseconds ResponseTimeout{3000};
  /// Calls at the same time; further ones wait for at most the answer timeout
  /// and then fail as Unavailable.
  size_t MaxConnections = 4;
};

/// Hooks that call the platform, each call on a connection of a small pool.
/// They keep the pool alive and may be copied and used by any thread. Nothing
/// is connected before the first call. InvalidArgument for a bad address.
absl::StatusOr<platform::services>
connectPlatform(const platform_client_options &Options);

} // namespace magnolia::net
