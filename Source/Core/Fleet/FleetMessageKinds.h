#pragma once

/// Numbers in the encoded messages between instances, shared by the encoder and
/// the decoder.
namespace magnolia::fleet {

// The first element of a message is its kind. Numbers of kinds that earlier
// versions sent with other content are not used again.
inline constexpr int HelloKind = 1;
inline constexpr int UpdateKind = 5;
inline constexpr int EventsKind = 6;
inline constexpr int RowsKind = 7;
inline constexpr int BundleKind = 8;
// instance_state and reading_state are encoded in one number.
inline constexpr int ReadingFactor = 8;

} // namespace magnolia::fleet
