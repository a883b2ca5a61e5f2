#include "Request/Idempotency.h"

#include <nlohmann/json.hpp>

#include "Common/Digest.h"

namespace magnolia::request {

using common::error_kind;
using common::wall_time;
using nlohmann::json;

namespace {

/// Prefixes each part with its length, so that different lists never give the
/// same bytes.
std::string joined(std::initializer_list<std::string_view> Parts) {
  std::string Bytes;
  for (const std::string_view Part : Parts) {
    Bytes += std::to_string(Part.size());
    Bytes += ':';
    Bytes += Part;
  }
  return Bytes;
}

constexpr auto LastState = static_cast<int>(claim_state::Unknown);

} // namespace

std::string claimRowKey(const idempotency_scope &Scope) {
  return std::string(ClaimRowPrefix) +
         common::sha256Hex(joined({Scope.Workspace, Scope.Route, Scope.Key}));
}

std::string fingerprintOf(std::string_view Method, std::string_view Path,
                          std::string_view Body) {
  return common::sha256Hex(joined({Method, Path, Body}));
}

std::string encodeClaim(const claim_record &Record) {
  return json{{"claim", Record.ClaimId},
              {"instance", Record.Instance},
              {"fingerprint", Record.Fingerprint},
              {"until_us", common::toUnixMicros(Record.Until)},
              {"expires_us", common::toUnixMicros(Record.Expires)},
              {"state", static_cast<int>(Record.State)},
              {"status", Record.HttpStatus}}
      .dump();
}

std::optional<claim_record> decodeClaim(std::string_view Bytes) {
  claim_record Record;
  try {
    const json Root = json::parse(Bytes);
    Record.ClaimId = Root.at("claim").get<std::string>();
    Record.Instance = Root.at("instance").get<std::string>();
    Record.Fingerprint = Root.at("fingerprint").get<std::string>();
    Record.Until = common::fromUnixMicros(Root.at("until_us").get<int64_t>());
    Record.Expires =
        common::fromUnixMicros(Root.at("expires_us").get<int64_t>());
    const int State = Root.at("state").get<int>();
    if (State < 0 || State > LastState)
      return std::nullopt;
    Record.State = static_cast<claim_state>(State);
    Record.HttpStatus = Root.at("status").get<int>();
  } catch (const json::exception &) {
    return std::nullopt;
  }
  return Record;
}

std::optional<error_kind> refusalForRepeat(const claim_record &Existing,
                                           std::string_view Fingerprint,
                                           wall_time Now,
                                           std::chrono::milliseconds Skew) {
  if (Now > Existing.Expires + Skew)
    return std::nullopt;
  if (Existing.Fingerprint != Fingerprint)
    return error_kind::IdempotencyMismatch;
  switch (Existing.State) {
  case claim_state::Completed:
    return error_kind::IdempotencyCompleted;
  case claim_state::Unknown:
    return error_kind::IdempotencyUnknown;
  case claim_state::Claimed:
    break;
  }
  // A claimant that should have finished by now has crashed or lost its reply.
  return Now > Existing.Until + Skew ? error_kind::IdempotencyUnknown
                                     : error_kind::IdempotencyInProgress;
}

} // namespace magnolia::request
