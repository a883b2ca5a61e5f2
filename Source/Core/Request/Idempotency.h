#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "Common/ErrorKind.h"
#include "Common/Time.h"

/// Idempotency keys: which request a key stands for, and what a repeat of it
/// gets.
namespace magnolia::request {

/// Within what a caller's Idempotency-Key is unique.
struct idempotency_scope {
  std::string Workspace;
  std::string Route;
  std::string Key;
};

/// Start of the keys of all claim rows; two hexadecimal digits of a hash
/// follow, so that the rows can be scanned in 256 parts.
inline constexpr std::string_view ClaimRowPrefix = "idempotency/";

/// The table row that holds the claim of a scope. Hides the key.
std::string claimRowKey(const idempotency_scope &Scope);

/// Digest of what makes a request the same: a repeat with another body is no
/// repeat. \p Path includes the query.
std::string fingerprintOf(std::string_view Method, std::string_view Path,
                          std::string_view Body);

enum class claim_state : uint8_t {
  /// The claimant may be sending the request.
  Claimed,
  /// A target ran the request.
  Completed,
  /// The claimant could not learn whether a target ran it.
  Unknown
};

/// The content of a claim row.
struct claim_record {
  /// Tells the claimant's own row from others' after a lost reply.
  std::string ClaimId;
  std::string Instance;
  std::string Fingerprint;
  /// No target starts to work for this claim after this time.
  common::wall_time Until;
  /// The row means nothing after this time.
  common::wall_time Expires;
  claim_state State = claim_state::Claimed;
  /// Of the answer, for Completed.
  int HttpStatus = 0;
};

std::string encodeClaim(const claim_record &Record);

/// Absent for bytes that are no claim.
std::optional<claim_record> decodeClaim(std::string_view Bytes);

/// What a request with \p Fingerprint gets that finds \p Existing; absent when
/// the record has expired. Clocks differ by up to \p Skew.
std::optional<common::error_kind>
refusalForRepeat(const claim_record &Existing, std::string_view Fingerprint,
                 common::wall_time Now, std::chrono::milliseconds Skew);

} // namespace magnolia::request
