#pragma once

#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>

#include "Net/Upstream/Message.h"
#include "Net/Upstream/ResponseStream.h"

namespace magnolia::net {

/// Limits of the connections to targets and of their responses.
struct upstream_settings {
  std::chrono::milliseconds ConnectTimeout{1000};
  /// Idle connections are closed after this time, which must be shorter than
  /// the idle timeout of the targets.
  std::chrono::milliseconds IdleTimeout{3000};
  size_t MaxIdlePerTarget = 32;
  /// Attempts in flight; each uses a thread.
  size_t MaxAttempts = 2048;
  size_t MaxResponseHeadBytes = size_t{64} * 1024;
  uint64_t MaxResponseBodyBytes = uint64_t{1} << 30;
  /// Body bytes of a response that are buffered for a slow caller.
  size_t MaxBufferedBodyBytes = size_t{256} * 1024;
};

/// Sends requests to targets and reuses connections. One per process;
/// thread-safe.
class upstream_pool {
public:
  explicit upstream_pool(const upstream_settings &Settings);
  /// Waits for the end of the attempts in flight.
  ~upstream_pool();
  upstream_pool(const upstream_pool &) = delete;
  upstream_pool &operator=(const upstream_pool &) = delete;

  /// Starts one attempt of \p Request at the target "IPv4:port". Never blocks;
  /// failures are reported by the stream.
  response_stream start(upstream_request Request, std::string Address,
                        stream_hooks Hooks = {});

  /// Closes connections that exceeded the idle timeout; call about every
  /// second.
  void closeIdle();

  /// Number of idle connections.
  size_t idleCount() const;

private:
  struct state;
  std::unique_ptr<state> State;
};

} // namespace magnolia::net
