#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include <absl/status/statusor.h>

#include "Target/DrainMark.h"
#include "Target/Evidence.h"

namespace magnolia::target {

/// One instance's evidence and drain mark of one target.
struct target_report {
  std::string Service;
  std::string Target;
  evidence_summary Evidence;
  drain_mark Drain;
};

/// The ejected targets of one service, which no instance uses. Decided by the
/// holder of the service's floor lease and ordered by priority: an instance
/// whose floor allows fewer ejects only the first ones.
struct ejection_list {
  std::string Service;
  /// How long the list is in force, counted from when the receiver sent the
  /// digest that the sender last echoed.
  duration Term{0};
  std::vector<std::string> Targets;
};

/// The newest digest stamp that the sender received from a peer.
struct digest_echo {
  std::string Instance;
  uint64_t Incarnation = 0;
  boot_time Stamp;
};

/// The message with which an instance reports its targets to its peers.
struct digest {
  std::string Instance;
  /// Increases with each restart of the instance.
  uint64_t Incarnation = 0;
  std::string FailureDomain;
  /// The sender's boot clock; increases with each digest of one process.
  boot_time Stamp;
  std::vector<digest_echo> Echoes;
  std::vector<target_report> Reports;
  std::vector<ejection_list> Ejections;
};

/// CBOR form of \p Digest.
std::string encode(const digest &Digest);

/// Decodes the CBOR form; InvalidArgument for anything else.
absl::StatusOr<digest> decodeDigest(std::string_view Bytes);

} // namespace magnolia::target
