#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include "Common/Time.h"
#include "Platform/Services.h"

/// Which claims the table can have lost. A table that is restored from an older
/// copy lacks the claims that were written after the copy, and nothing else
/// tells which keys they belong to. So a key without a row proves nothing until
/// the last of these claims would have expired, or until an operator has
/// checked which requests ran. One row says when the restore was noticed.
namespace magnolia::request {

/// Key of the row about the last restore of the table.
inline constexpr std::string_view RestoreRowKey = "idempotency-restore";

/// Content of that row.
struct restore_record {
  /// The era that began with the restore.
  uint64_t Era = 0;
  /// When an instance first read the table in this era.
  common::wall_time Noticed;
  /// The operator who has settled the requests whose claims were lost; empty
  /// for none.
  std::string SettledBy;
};

/// What the claim rows of one era prove.
struct claim_coverage {
  uint64_t Era = 0;
  /// Until then a key without a row may have been claimed; absent if each claim
  /// that counts has a row.
  std::optional<common::wall_time> MissingUntil;

  bool isComplete() const { return !MissingUntil; }
};

std::string encodeRestore(const restore_record &Record);

/// Returns nothing for bytes that are not such a record.
std::optional<restore_record> decodeRestore(std::string_view Bytes);

/// Reads the era of \p Table and what its claims prove at \p Now. The first
/// reader of an era records the restore. A claim that was lost counts for \p
/// ClaimLife after that at most. Blocks; returns the error of the table if it
/// cannot be read.
absl::StatusOr<claim_coverage>
readCoverage(const platform::table_service &Table, common::wall_time Now,
             std::chrono::milliseconds ClaimLife);

/// Records that \p Operator has settled the requests whose claims were lost by
/// the last restore; keys are claimed again from then on. Errors:
/// FailedPrecondition if the table was never restored, and those of the table.
absl::Status settleLostClaims(const platform::table_service &Table,
                              const std::string &Operator,
                              common::wall_time Now);

} // namespace magnolia::request
