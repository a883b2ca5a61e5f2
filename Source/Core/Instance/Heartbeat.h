#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include <absl/status/statusor.h>

#include "Link/LinkView.h"

/// The instances of a fleet: who lives, who leaves, and which of them callers
/// are told to use.
namespace magnolia::instance {

using common::boot_time;
using duration = common::boot_clock::duration;

/// Who an instance is and where it is reached.
struct instance_info {
  std::string Name;
  /// Grows with each start of an instance of this name.
  uint64_t Incarnation = 0;
  /// Names one start of the machine.
  std::string BootId;
  std::string FailureDomain;
  /// "IPv4:port" for callers.
  std::string CallerAddress;
  /// "IPv4:port" for peers.
  std::string PeerAddress;

  friend bool operator==(const instance_info &,
                         const instance_info &) = default;
};

/// What an instance tells each peer about once a heartbeat period.
struct heartbeat {
  instance_info Info;
  bool Draining = false;
  /// The configuration that is in force there.
  uint64_t ConfigurationVersion = 0;
  /// How long ago it was known that no newer one was accepted.
  duration ConfigurationAge{0};
  /// Whom it hears.
  std::vector<link::received_heartbeat> Received;
  /// Leaving instances it knows of, so that a peer's word spreads.
  std::vector<std::pair<std::string, uint64_t>> KnownDraining;
};

/// CBOR form of \p Heartbeat.
std::string encode(const heartbeat &Heartbeat);

/// Reads the CBOR form; InvalidArgument for anything else.
absl::StatusOr<heartbeat> decodeHeartbeat(std::string_view Bytes);

} // namespace magnolia::instance
