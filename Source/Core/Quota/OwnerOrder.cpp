#include "Quota/OwnerOrder.h"

#include <absl/container/flat_hash_map.h>
#include <absl/strings/str_cat.h>

#include "Common/Digest.h"

namespace magnolia::quota {

uint32_t partitionOf(std::string_view Workspace, uint32_t PartitionCount) {
  return static_cast<uint32_t>(common::stableHash(Workspace) % PartitionCount);
}

std::vector<size_t> ownerOrder(uint32_t Partition,
                               absl::Span<const owner_candidate> Candidates) {
  std::vector<std::string> Names;
  Names.reserve(Candidates.size());
  for (const owner_candidate &Candidate : Candidates)
    Names.push_back(Candidate.Instance);
  const std::vector<size_t> Ranked =
      common::rendezvousOrder(absl::StrCat("partition ", Partition), Names);

  // A candidate's turn is its position among those of its failure domain; all
  // candidates of the first turn precede those of the second, and so on.
  absl::flat_hash_map<std::string, size_t> Used;
  std::vector<std::vector<size_t>> Turns;
  for (const size_t Index : Ranked) {
    const size_t Turn = Used[Candidates[Index].FailureDomain]++;
    if (Turn >= Turns.size())
      Turns.emplace_back();
    Turns[Turn].push_back(Index);
  }
  std::vector<size_t> Order;
  Order.reserve(Candidates.size());
  for (const std::vector<size_t> &Turn : Turns)
    Order.insert(Order.end(), Turn.begin(), Turn.end());
  return Order;
}

} // namespace magnolia::quota
