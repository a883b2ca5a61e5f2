#pragma once

#include <atomic>
#include <string>
#include <thread>

#include <absl/status/statusor.h>

#include "Common/Time.h"
#include "Platform/Services.h"
#include "Request/ClaimStore.h"

namespace magnolia::daemon {

/// Claims idempotency keys through a claim store that runs on a separate
/// thread. Thread-safe.
class claim_agent {
public:
  claim_agent(const std::string &Instance, platform::table_service Table);

  /// Writes the outcomes that are still pending for up to three seconds, then
  /// stops the thread.
  ~claim_agent();
  claim_agent(const claim_agent &) = delete;
  claim_agent &operator=(const claim_agent &) = delete;

  /// Claims the key; fails with IdempotencyUnavailable, IdempotencyInProgress,
  /// IdempotencyCompleted or IdempotencyUnknown, or with IdempotencyMismatch if
  /// the key belongs to another request.
  /// Blocks until \p Deadline at the latest.
  absl::StatusOr<request::claim> claim(const request::idempotency_scope &Scope,
                                       const std::string &Fingerprint,
                                       common::boot_time Deadline);

  /// Records the outcome of the claimed request.
  void finish(const request::claim &Claim, common::execution Execution,
              int HttpStatus) {
    Store.finish(Claim, Execution, HttpStatus);
  }

  /// Removes expired rows from the next partition of the table; blocks.
  void removeExpired();

private:
  void run();

  request::claim_store Store;
  std::atomic<bool> Stopping{false};
  std::atomic<uint8_t> NextPartition{0};
  std::thread Thread;
};

} // namespace magnolia::daemon
