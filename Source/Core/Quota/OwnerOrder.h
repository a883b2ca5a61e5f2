#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include <absl/types/span.h>

namespace magnolia::quota {

/// An instance that can own shares.
struct owner_candidate {
  std::string Instance;
  std::string FailureDomain;
};

/// The partition of a workspace, the same on every instance.
uint32_t partitionOf(std::string_view Workspace, uint32_t PartitionCount);

/// The indices of the candidates in the order of preference as owners of the
/// partition: rendezvous order, with every failure domain used once before any
/// is used again.
std::vector<size_t> ownerOrder(uint32_t Partition,
                               absl::Span<const owner_candidate> Candidates);

} // namespace magnolia::quota
