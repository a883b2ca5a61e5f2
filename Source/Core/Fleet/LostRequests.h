#pragma once

#include <deque>
#include <optional>

#include <absl/container/flat_hash_map.h>

#include "Fleet/FleetMessage.h"

namespace magnolia::fleet {

/// Remembers which requests of this instance were lost and not completed since,
/// so that a second loss of the same request is recognized. Not thread-safe.
class lost_requests {
public:
  /// Records a loss. Returns the one before of a request with the same
  /// fingerprint, if it is remembered.
  std::optional<ended_run> remember(uint64_t Fingerprint,
                                    const ended_run &Loss) {
    std::optional<ended_run> Before;
    const auto [Found, IsNew] = Last.try_emplace(Fingerprint, Loss);
    if (IsNew) {
      Order.push_back(Fingerprint);
      forgetOldest();
      return Before;
    }
    Before = Found->second;
    Found->second = Loss;
    return Before;
  }

  /// A target completed a request with this fingerprint.
  void forget(uint64_t Fingerprint) { Last.erase(Fingerprint); }

  size_t size() const { return Last.size(); }

private:
  static constexpr size_t MaxRequests = 1024;

  void forgetOldest() {
    while (Order.size() > MaxRequests) {
      Last.erase(Order.front());
      Order.pop_front();
    }
  }

  absl::flat_hash_map<uint64_t, ended_run> Last;
  /// In the order of their first loss; may name forgotten ones.
  std::deque<uint64_t> Order;
};

} // namespace magnolia::fleet
