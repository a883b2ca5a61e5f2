#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

/// Content digests and hashes with the same result on every instance.
namespace magnolia::common {

/// SHA-256 of \p Bytes as 64 lower-case hexadecimal digits.
std::string sha256Hex(std::string_view Bytes);

/// \p Count random bytes from OpenSSL as lower-case hexadecimal digits.
std::string randomHex(size_t Count);

/// A 64-bit hash that does not differ between processes or releases.
uint64_t stableHash(std::string_view Bytes, uint64_t Seed = 0);

/// The indices of \p Members ordered by rendezvous hashing for \p Key: all
/// instances that know the same members compute the same order, and the removal
/// of a member moves only its own keys.
std::vector<size_t> rendezvousOrder(std::string_view Key,
                                    const std::vector<std::string> &Members);

} // namespace magnolia::common
