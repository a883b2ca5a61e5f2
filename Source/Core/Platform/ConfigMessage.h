#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include <absl/status/statusor.h>

/// Messages about the configuration between instances. They may be lost,
/// delayed, duplicated and overtake one another.
namespace magnolia::platform {

/// Type under which a peer transport carries these messages.
inline constexpr std::string_view ConfigMessageType = "config";

/// Asks a peer for its config_claim.
struct config_query {
  /// Returned in the claim, so that the asker knows how old it can be.
  uint64_t Nonce = 0;
  /// Version in force at the asker, zero where there is none.
  uint64_t Version = 0;
};

/// What the sender has in force and how old its knowledge of the head is.
struct config_claim {
  /// Nonce of the ask that this answers; zero where nobody asked.
  uint64_t Nonce = 0;
  uint64_t Version = 0;
  std::string Digest;
  /// The head named no later version this long before the claim was sent;
  /// absent where the sender never knew.
  std::optional<std::chrono::microseconds> Age;
  /// Other instances that the sender counts for the staleness rule.
  uint64_t Peers = 0;
};

/// Asks for a part of the encoded configuration named \p Digest.
struct config_fetch {
  std::string Digest;
  uint64_t Offset = 0;
};

/// A part of an encoded configuration.
struct config_chunk {
  std::string Digest;
  uint64_t Offset = 0;
  /// Bytes of the whole configuration.
  uint64_t Total = 0;
  std::string Bytes;
};

using config_message =
    std::variant<config_query, config_claim, config_fetch, config_chunk>;

/// CBOR form of \p Message.
std::string encode(const config_message &Message);

/// The inverse of encode; InvalidArgument where \p Bytes are not such a form.
absl::StatusOr<config_message> decodeConfigMessage(std::string_view Bytes);

} // namespace magnolia::platform
