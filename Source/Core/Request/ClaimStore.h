#pragma once

#include <chrono>
#include <cstddef>
#include <deque>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include "Platform/Services.h"
#include "Request/AttemptPlan.h"
#include "Request/Idempotency.h"
#include "Request/LostClaims.h"

namespace magnolia::request {

struct claim_settings {
  /// Name of this instance, for operators.
  std::string Instance;
  /// How long a key is remembered.
  std::chrono::hours KeepTime{24};
  /// Largest difference between the clocks of two instances.
  std::chrono::milliseconds ClockSkew{2000};
  /// Maximum claims in one transaction.
  size_t BatchLimit = 64;
  /// Maximum claims that wait; more are refused at once.
  size_t QueueLimit = 4096;
  /// How long a row update is retried, which also covers a row that a commit
  /// without a reply may still write.
  std::chrono::seconds UpdateTimeout{60};
  /// The longest time limit that a request may have.
  std::chrono::hours LongestRequest{1};
  /// Called by flush() when the table is found in another era, or with other
  /// coverage, than before; may be empty.
  std::function<void(const claim_coverage &)> CoverageChanged;
};

/// A claim that this instance holds.
struct claim {
  std::string RowKey;
  claim_record Record;
  /// The era of the table in which it was granted.
  uint64_t Era = 0;
};

/// The decision on a request with an Idempotency-Key.
struct claim_result {
  /// Absent when the request may be sent.
  std::optional<common::error_kind> Refusal;
  claim Claim;
  /// HTTP status of the earlier response, for IdempotencyCompleted.
  int EarlierStatus = 0;
};

/// Claims idempotency keys in the platform's table, so that a request runs at
/// most once whichever instances receive its repeats. Claims that arrive during
/// a commit are batched into the next one. A key without a row is not granted
/// while the table may lack claims because it was restored from an older copy:
/// its refusal says that nobody knows whether the request has run. Thread-safe;
/// one thread calls flush().
class claim_store {
public:
  /// Returns false when the request is no longer waiting, which releases the
  /// claim.
  using callback = std::function<bool(const claim_result &)>;

  claim_store(const claim_settings &Settings, platform::table_service Table);

  /// Claims the key of \p Scope for a request that no target starts after
  /// \p Until. \p Done is called by flush(), or at once when the queue is full.
  void submit(const idempotency_scope &Scope, std::string Fingerprint,
              common::wall_time Until, callback Done);

  /// Records the result of the claimed request. The key becomes free if the
  /// request did not run.
  void finish(const claim &Claim, common::execution Execution, int HttpStatus);

  /// Writes one batch of waiting claims and row updates to the table. Blocks.
  /// Returns whether there were claims or a row update was completed or given
  /// up.
  bool flush(common::wall_time Now);

  /// Blocks until a claim is waiting, a row update is added or \p Limit has
  /// passed. An update that waits for its retry does not wake it.
  void awaitWork(std::chrono::milliseconds Limit);

  /// Removes expired rows of part \p Part of 256; returns how many. Also
  /// records a restore of the table that no claim has noticed yet.
  absl::StatusOr<size_t> removeExpired(uint8_t Part, common::wall_time Now);

  size_t waiting() const;

private:
  struct pending_claim {
    claim Claim;
    callback Done;
    /// The row's version that the commit expects; zero for none.
    uint64_t Expected = 0;
    /// A commit of it may have taken effect or may still do so.
    bool InDoubt = false;
  };
  using pending_claims = std::vector<pending_claim>;

  /// A pending write of the final state of a claim.
  struct row_update {
    claim Claim;
    /// Absent to remove the row.
    std::optional<claim_record> Record;
    common::wall_time GiveUpAt;
    /// Whether a row that is absent may still appear.
    bool RowMayAppear = false;
  };

  pending_claims takeClaims(common::wall_time Now);
  void commitClaims(pending_claims Claims, common::wall_time Now);
  absl::Status tryCommit(const pending_claims &Claims) const;
  /// Reads what the table proves and keeps it; returns the coverage of before,
  /// or the error of the table.
  absl::StatusOr<claim_coverage> updateCoverage(common::wall_time Now);
  /// Reads the row of each claim that was not granted with its commit. Grants a
  /// claim whose row was written, and refuses it if another claim holds the
  /// key, may have held it, or the row cannot be read. Returns the others,
  /// which need another commit.
  pending_claims resolve(pending_claims Claims, common::wall_time Now);
  /// The same for one claim; returns whether it was granted or refused.
  bool resolveOne(pending_claim &Pending, common::wall_time Now);
  /// The longest time for which a claim counts after it was written.
  std::chrono::milliseconds claimLife() const;
  void grant(const pending_claim &Pending, common::wall_time Now);
  void refuse(const pending_claim &Pending, common::error_kind Kind,
              common::wall_time Now, int EarlierStatus = 0);
  void release(const claim &Claim, common::wall_time Now, bool RowMayAppear);
  /// A row update with the condition that its row still has the version that
  /// was read.
  struct prepared_update {
    row_update Update;
    platform::condition Condition;
    platform::write Write;
  };

  bool flushUpdates(common::wall_time Now);
  std::deque<row_update> takeUpdates();
  /// Reads the row of \p Update. Returns the write, or nothing if no write is
  /// needed any more, or NotFound while the row may still appear.
  absl::StatusOr<std::optional<prepared_update>>
  prepare(const row_update &Update) const;
  /// Returns the updates that could not be written.
  std::deque<row_update>
  writeUpdates(absl::Span<const prepared_update> Prepared) const;

  const claim_settings Settings;
  const platform::table_service Table;
  /// As last read by flush(); eras only rise.
  claim_coverage Coverage;
  mutable absl::Mutex Mutex;
  absl::CondVar Changed;
  std::deque<pending_claim> Claims ABSL_GUARDED_BY(Mutex);
  std::deque<row_update> Updates ABSL_GUARDED_BY(Mutex);
};

} // namespace magnolia::request
