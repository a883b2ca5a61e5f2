#include "Common/Digest.h"

#include <algorithm>
#include <numeric>

#include <absl/strings/escaping.h>
#include <openssl/evp.h>
#include <openssl/rand.h>
#include <xxhash.h>

namespace magnolia::common {
namespace {

std::string toHex(const unsigned char *Bytes, size_t Size) {
  return absl::BytesToHexString(
      absl::string_view(reinterpret_cast<const char *>(Bytes), Size));
}

} // namespace

std::string sha256Hex(std::string_view Bytes) {
  unsigned char Digest[EVP_MAX_MD_SIZE];
  unsigned int Size = 0;
  EVP_Digest(Bytes.data(), Bytes.size(), Digest, &Size, EVP_sha256(), nullptr);
  return toHex(Digest, Size);
}

std::string randomHex(size_t Count) {
  std::vector<unsigned char> Bytes(Count);
  RAND_bytes(Bytes.data(), static_cast<int>(Count));
  return toHex(Bytes.data(), Count);
}

uint64_t stableHash(std::string_view Bytes, uint64_t Seed) {
  return XXH3_64bits_withSeed(Bytes.data(), Bytes.size(), Seed);
}

std::vector<size_t> rendezvousOrder(std::string_view Key,
                                    const std::vector<std::string> &Members) {
  const uint64_t Seed = stableHash(Key);
  std::vector<uint64_t> Weights;
  Weights.reserve(Members.size());
  for (const std::string &Member : Members)
    Weights.push_back(stableHash(Member, Seed));
  std::vector<size_t> Order(Members.size());
  std::iota(Order.begin(), Order.end(), size_t{0});
  std::sort(Order.begin(), Order.end(), [&](size_t A, size_t B) {
    return Weights[A] != Weights[B] ? Weights[A] > Weights[B]
                                    : Members[A] < Members[B];
  });
  return Order;
}

} // namespace magnolia::common
