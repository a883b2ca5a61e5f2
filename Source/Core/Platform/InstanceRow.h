#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include <absl/status/statusor.h>

#include "Common/Time.h"
#include "Platform/Services.h"

/// The row in which an instance publishes its addresses and confirms the
/// version that it serves.
namespace magnolia::platform {

/// Key prefix of all instance rows.
inline constexpr std::string_view InstanceRowPrefix = "instance/";

/// Content of the row "instance/NAME", written only by that instance.
struct instance_row {
  std::string Name;
  /// "IPv4:port" at which callers reach it.
  std::string CallerAddress;
  /// "IPv4:port" at which peers reach it.
  std::string PeerAddress;
  std::string FailureDomain;
  /// Changes with each boot of the machine.
  std::string BootId;
  /// Increases with each start of an instance of this name.
  uint64_t Incarnation = 0;
  /// Version of the configuration in force at this instance.
  uint64_t Version = 0;
  /// Time of the write by the wall clock of the instance.
  common::wall_time Updated;
};

/// Key of the row of the instance \p Name.
std::string instanceRowKey(std::string_view Name);

/// Encodes the value of the row as JSON.
std::string encode(const instance_row &Row);

/// The inverse of encode; DataLoss if \p Text is malformed.
absl::StatusOr<instance_row> decodeInstanceRow(std::string_view Text);

/// All well-formed instance rows, ordered by name; others are logged and
/// skipped.
absl::StatusOr<std::vector<instance_row>>
readInstanceRows(const table_service &Table);

} // namespace magnolia::platform
