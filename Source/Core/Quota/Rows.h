#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <tuple>

#include <absl/status/statusor.h>

#include "Quota/Amount.h"

/// The table rows that divide rate and burst between instances.
namespace magnolia::quota {

inline constexpr std::string_view LayoutKey = "quota/layout";
inline constexpr std::string_view LeasePrefix = "quota/lease/";
inline constexpr std::string_view SharePrefix = "quota/share/";

/// The number of partitions and slots. Written once for the fleet and never
/// changed, so that no two instances can divide rights differently.
struct layout_row {
  uint32_t PartitionCount = 0;
  uint32_t SlotCount = 0;
};

/// One process's claim on its shares. The only row that the process renews.
struct lease_row {
  std::string Instance;
  std::string FailureDomain;
  std::string Address;
  /// Boot identifier of the machine.
  std::string BootId;
  /// Random name of the process that renews the lease.
  std::string Process;
  /// No right of the lease is used at or after this time.
  common::wall_time Expires;
  /// Longest term of a loan granted from the shares.
  duration LoanTerm{};
  /// The holder no longer uses its shares; only its loans may still run.
  bool Closed = false;
};

/// The lease that holds one slot of one partition.
struct share_row {
  std::string Instance;
  std::string Lease;
};

/// One slot of one partition.
struct slot {
  uint32_t Partition = 0;
  uint32_t Index = 0;

  friend bool operator==(const slot &, const slot &) = default;
  friend bool operator<(const slot &A, const slot &B) {
    return std::tie(A.Partition, A.Index) < std::tie(B.Partition, B.Index);
  }
};

std::string leaseKey(std::string_view Lease);
std::string shareKey(slot Slot);
/// The inverse of shareKey(); InvalidArgument for another key.
absl::StatusOr<slot> parseShareKey(std::string_view Key);

std::string encode(const layout_row &Row);
std::string encode(const lease_row &Row);
std::string encode(const share_row &Row);

/// Each fails with DataLoss if the value is not such a row.
absl::StatusOr<layout_row> decodeLayout(std::string_view Value);
absl::StatusOr<lease_row> decodeLease(std::string_view Value);
absl::StatusOr<share_row> decodeShare(std::string_view Value);

} // namespace magnolia::quota
