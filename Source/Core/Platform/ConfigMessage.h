#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include <absl/status/statusor.h>

/// Messages between instances about the configuration. They may be lost,
/// delayed, duplicated and reordered.
namespace magnolia::platform {

/// Message type of these messages in the peer transport.
inline constexpr std::string_view ConfigMessageType = "config";

/// Requests a config_claim from a peer.
struct config_query {
  /// Returned in the claim, so that the sender can bound the age of the claim.
  uint64_t Nonce = 0;
  /// Version in force at the sender; zero before the first one.
  uint64_t Version = 0;
};

/// The version in force at the sender, and when it was last known to be the
/// latest.
struct config_claim {
  /// Nonce of the query that this replies to; zero if unsolicited.
  uint64_t Nonce = 0;
  uint64_t Version = 0;
  std::string Digest;
  /// Time between the last proof that the head row named no later version and
  /// the sending of the claim; absent if the sender never had one.
  std::optional<std::chrono::microseconds> Age;
  /// Number of other instances that the sender counts for the staleness rule.
  uint64_t Peers = 0;
};

/// Requests the part of an encoded configuration that starts at Offset.
struct config_fetch {
  std::string Digest;
  uint64_t Offset = 0;
};

/// A part of an encoded configuration.
struct config_chunk {
  std::string Digest;
  uint64_t Offset = 0;
  /// Size of the complete configuration in bytes.
  uint64_t Total = 0;
  std::string Bytes;
};

using config_message =
    std::variant<config_query, config_claim, config_fetch, config_chunk>;

/// Encodes \p Message as CBOR.
std::string encode(const config_message &Message);

/// The inverse of encode; InvalidArgument if \p Bytes are malformed.
absl::StatusOr<config_message> decodeConfigMessage(std::string_view Bytes);

} // namespace magnolia::platform
