#pragma once

#include <atomic>
#include <string>
#include <thread>

#include <absl/status/statusor.h>

#include "Common/Time.h"
#include "Platform/Services.h"
#include "Request/ClaimStore.h"

namespace magnolia::daemon {

/// Runs the claims of idempotency keys on a thread of its own. Thread-safe.
class claim_agent {
public:
  claim_agent(const std::string &Instance, platform::table_service Table);

  /// Writes what is known of the last claims, then ends.
  ~claim_agent();
  claim_agent(const claim_agent &) = delete;
  claim_agent &operator=(const claim_agent &) = delete;

  /// Claims the key; fails with IdempotencyUnavailable, InProgress or
  /// Completed, or BadRequest for a key that stands for another request.
  /// Blocks until \p Deadline at the latest.
  absl::StatusOr<request::claim> claim(const request::idempotency_scope &Scope,
                                       const std::string &Fingerprint,
                                       common::boot_time Deadline);

  /// Records how the claimed request ended.
  void finish(const request::claim &Claim, common::execution Execution,
              int HttpStatus) {
    Store.finish(Claim, Execution, HttpStatus);
  }

  /// Removes expired rows of the next part of the table; blocks.
  void removeExpired();

private:
  void run();

  request::claim_store Store;
  std::atomic<bool> Stopping{false};
  std::atomic<uint8_t> NextPartition{0};
  std::thread Thread;
};

} // namespace magnolia::daemon
