#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include <absl/status/statusor.h>

#include "Target/DrainMark.h"
#include "Target/Evidence.h"

namespace magnolia::target {

/// What one instance knows of one target.
struct target_report {
  std::string Service;
  std::string Target;
  evidence_summary Evidence;
  drain_mark Drain;
};

/// The targets of one service that no instance uses, decided by the holder of
/// the service's floor lease, worst first.
struct ejection_list {
  std::string Service;
  /// How long the list holds, from when the receiver sent the digest that the
  /// sender last echoed.
  duration Term{0};
  std::vector<std::string> Targets;
};

/// The newest stamp that the sender has from a peer.
struct digest_echo {
  std::string Instance;
  uint64_t Incarnation = 0;
  boot_time Stamp;
};

/// What an instance tells its peers of its targets.
struct digest {
  std::string Instance;
  /// Grows with each restart of the instance.
  uint64_t Incarnation = 0;
  std::string FailureDomain;
  /// The sender's boot clock; grows with each digest of one process.
  boot_time Stamp;
  std::vector<digest_echo> Echoes;
  std::vector<target_report> Reports;
  std::vector<ejection_list> Ejections;
};

/// CBOR form of \p Digest.
std::string encode(const digest &Digest);

/// Reads the CBOR form; InvalidArgument for anything else.
absl::StatusOr<digest> decodeDigest(std::string_view Bytes);

} // namespace magnolia::target
