#pragma once

#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>

#include "Net/Upstream/Message.h"
#include "Net/Upstream/ResponseStream.h"

namespace magnolia::net {

/// Limits of the connections to targets.
struct upstream_settings {
  std::chrono::milliseconds ConnectTimeout{1000};
  /// Idle connections are closed after this time, which is to be shorter than
  /// the targets' own.
  std::chrono::milliseconds IdleTimeout{3000};
  size_t MaxIdlePerTarget = 32;
  /// Attempts in flight; each holds a thread.
  size_t MaxAttempts = 2048;
  size_t MaxResponseHeadBytes = size_t{64} * 1024;
  uint64_t MaxResponseBodyBytes = uint64_t{1} << 30;
  /// Body bytes that wait for a slow caller.
  size_t MaxBufferedBodyBytes = size_t{256} * 1024;
};

/// Sends requests to targets. One for each process; thread-safe.
class upstream_pool {
public:
  explicit upstream_pool(const upstream_settings &Settings);
  /// Waits for the attempts in flight.
  ~upstream_pool();
  upstream_pool(const upstream_pool &) = delete;
  upstream_pool &operator=(const upstream_pool &) = delete;

  /// Starts one attempt of \p Request at the target "IPv4:port". Never blocks;
  /// failures come out of the stream.
  response_stream start(upstream_request Request, std::string Address,
                        stream_hooks Hooks = {});

  /// Closes idle connections that are too old; call about every second.
  void closeIdle();

  /// Connections that wait for a request.
  size_t idleCount() const;

private:
  struct state;
  std::unique_ptr<state> State;
};

} // namespace magnolia::net
