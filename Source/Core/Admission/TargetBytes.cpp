#include "Admission/TargetBytes.h"

#include <algorithm>

namespace magnolia::admission {

std::vector<uint32_t> target_bytes::withoutRoomFor(size_t Bytes) const {
  std::vector<uint32_t> Targets;
  if (!Limit || Bytes == 0)
    return Targets;
  for (const auto &[Target, HeldBytes] : Held)
    if (HeldBytes + Bytes > *Limit)
      Targets.push_back(Target);
  return Targets;
}

std::unique_ptr<target_bytes::use> target_bytes::add(uint32_t Target,
                                                     size_t Bytes) {
  if (!Limit || Bytes == 0)
    return nullptr;
  Held[Target] += Bytes;
  return std::unique_ptr<use>(new use(shared_from_this(), Target, Bytes));
}

size_t target_bytes::most() const {
  size_t Most = 0;
  for (const auto &[Target, HeldBytes] : Held)
    Most = std::max(Most, HeldBytes);
  return Most;
}

target_bytes::use::~use() {
  const auto Entry = Owner->Held.find(Target);
  Entry->second -= Bytes;
  if (Entry->second == 0)
    Owner->Held.erase(Entry);
}

} // namespace magnolia::admission
