#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include <absl/status/statusor.h>

#include "Platform/MemoryPlatform.h"

/// Small stand-in for the platform: a memory_platform behind HTTP, with paths
/// to set its faults.
namespace magnolia::stand_ins {

/// Serves a memory_platform until it is destroyed.
class platform_server {
public:
  /// Binds \p Address, "IPv4:port" where port 0 lets the system choose, and
  /// starts to serve \p Platform, which must outlive the server.
  static absl::StatusOr<std::unique_ptr<platform_server>>
  create(const std::string &Address, platform::memory_platform &Platform);

  ~platform_server();
  platform_server(const platform_server &) = delete;
  platform_server &operator=(const platform_server &) = delete;

  uint16_t port() const;

private:
  class impl;
  explicit platform_server(std::unique_ptr<impl> Impl);
  std::unique_ptr<impl> Impl;
};

} // namespace magnolia::stand_ins
