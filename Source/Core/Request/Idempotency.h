#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "Common/ErrorKind.h"
#include "Common/Time.h"

/// Idempotency keys: which request a key identifies, and how a repeat of it is
/// handled.
namespace magnolia::request {

/// A caller's Idempotency-Key with the workspace and route within which it is
/// unique.
struct idempotency_scope {
  std::string Workspace;
  std::string Route;
  std::string Key;
};

/// Prefix of the keys of all claim rows; two hexadecimal digits of a hash
/// follow, so that the rows can be scanned in 256 parts.
inline constexpr std::string_view ClaimRowPrefix = "idempotency/";

/// The table row that holds the claim of a scope. Contains only a digest of the
/// key.
std::string claimRowKey(const idempotency_scope &Scope);

/// Digest that identifies the content of a request: a request with another body
/// is not a repeat. \p Path includes the query.
std::string fingerprintOf(std::string_view Method, std::string_view Path,
                          std::string_view Body);

enum class claim_state : uint8_t {
  /// The claimant may be sending the request.
  Claimed,
  /// A target ran the request.
  Completed,
  /// The claimant could not determine whether a target ran it.
  Unknown
};

/// The content of a claim row.
struct claim_record {
  /// Distinguishes the claimant's own row from those of others after a lost
  /// reply.
  std::string ClaimId;
  std::string Instance;
  std::string Fingerprint;
  /// No target starts to run the claimed request after this time.
  common::wall_time Until;
  /// The row is ignored after this time.
  common::wall_time Expires;
  claim_state State = claim_state::Claimed;
  /// Status of the response, for Completed.
  int HttpStatus = 0;
};

std::string encodeClaim(const claim_record &Record);

/// Returns nothing for bytes that are not a claim.
std::optional<claim_record> decodeClaim(std::string_view Bytes);

/// The error for a request with \p Fingerprint whose key has the claim \p
/// Existing; absent when the record has expired. Clocks differ by up to \p
/// Skew.
std::optional<common::error_kind>
refusalForRepeat(const claim_record &Existing, std::string_view Fingerprint,
                 common::wall_time Now, std::chrono::milliseconds Skew);

} // namespace magnolia::request
