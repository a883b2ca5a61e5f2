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

/// Connections without an unanswered request, by target address.
class idle_connections {
public:
  idle_connections(size_t MaxPerTarget, std::chrono::milliseconds IdleTimeout);

  /// The youngest connection to \p Address that is not too old and on which
  /// nothing has arrived; null if there is none.
  std::shared_ptr<connection> take(const std::string &Address);

  /// Keeps \p Connection, or closes it when the target has enough.
  void put(const std::string &Address, std::shared_ptr<connection> Connection);

  /// Closes what is too old.
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
