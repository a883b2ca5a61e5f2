#pragma once

#include <chrono>
#include <cstddef>
#include <memory>
#include <string>
#include <vector>

#include "Common/ShardedMap.h"
#include "Common/Time.h"
#include "Net/Upstream/Connection.h"

namespace magnolia::net {

/// A pool of idle connections by target address. Thread-safe.
class idle_connections {
public:
  idle_connections(size_t MaxPerTarget, std::chrono::milliseconds IdleTimeout);

  /// Removes and returns the most recently used connection to \p Address that
  /// has not exceeded the idle timeout and has no pending input; null if there
  /// is none.
  std::shared_ptr<connection> take(const std::string &Address);

  /// Adds \p Connection, or closes it if the target has enough idle ones.
  void put(const std::string &Address, std::shared_ptr<connection> Connection);

  /// Closes connections that exceeded the idle timeout.
  void closeExpired();

  size_t count();

private:
  struct entry {
    std::shared_ptr<connection> Connection;
    common::boot_time IdleSince;
  };
  using entries = std::vector<entry>;

  const size_t MaxPerTarget;
  const std::chrono::milliseconds IdleTimeout;
  common::sharded_map<std::string, entries> ByAddress;
};

} // namespace magnolia::net
