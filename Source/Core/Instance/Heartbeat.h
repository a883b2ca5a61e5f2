#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include <absl/status/statusor.h>

#include "Link/LinkView.h"

/// Membership of a fleet's instances: which are alive or draining, and which
/// the directory gives to callers.
namespace magnolia::instance {

using common::boot_time;
using duration = common::boot_clock::duration;

/// Identity and addresses of an instance.
struct instance_info {
  std::string Name;
  /// Increases with each start of an instance of this name.
  uint64_t Incarnation = 0;
  /// Identifies one boot of the machine.
  std::string BootId;
  std::string FailureDomain;
  /// "IPv4:port" for callers.
  std::string CallerAddress;
  /// "IPv4:port" for peers.
  std::string PeerAddress;

  friend bool operator==(const instance_info &,
                         const instance_info &) = default;
};

/// The message that an instance sends to each peer about once per heartbeat
/// period.
struct heartbeat {
  instance_info Info;
  bool Draining = false;
  /// Version of the configuration in force at the sender.
  uint64_t ConfigurationVersion = 0;
  /// Time since the sender last knew that no newer one had been accepted.
  duration ConfigurationAge{0};
  /// Heartbeats that the sender received from its peers.
  std::vector<link::received_heartbeat> Received;
  /// Names and incarnations of the draining instances that the sender knows, so
  /// that the information also spreads through peers.
  std::vector<std::pair<std::string, uint64_t>> KnownDraining;
};

/// CBOR form of \p Heartbeat.
std::string encode(const heartbeat &Heartbeat);

/// Decodes the CBOR form; InvalidArgument for anything else.
absl::StatusOr<heartbeat> decodeHeartbeat(std::string_view Bytes);

} // namespace magnolia::instance
