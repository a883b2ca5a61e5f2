#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include <absl/status/statusor.h>

#include "Common/Time.h"
#include "Platform/Services.h"

/// The row with which an instance confirms the version that it serves.
namespace magnolia::platform {

/// Key prefix of all instance rows.
inline constexpr std::string_view InstanceRowPrefix = "instance/";

/// Content of the row "instance/NAME", written by that instance alone.
struct instance_row {
  std::string Name;
  /// "IPv4:port" at which callers reach it.
  std::string CallerAddress;
  /// "IPv4:port" at which peers reach it.
  std::string PeerAddress;
  std::string FailureDomain;
  /// Differs after each start of the machine.
  std::string BootId;
  /// Grows with each start of an instance of this name.
  uint64_t Incarnation = 0;
  /// Version of the configuration in force there.
  uint64_t Version = 0;
  /// When it wrote the row, by its own wall clock.
  common::wall_time Updated;
};

/// Key of the row of the instance \p Name.
std::string instanceRowKey(std::string_view Name);

/// JSON form of the row's value.
std::string encode(const instance_row &Row);

/// The inverse of encode; DataLoss where \p Text is not such a form.
absl::StatusOr<instance_row> decodeInstanceRow(std::string_view Text);

/// Every instance row that can be read, ordered by name.
absl::StatusOr<std::vector<instance_row>>
readInstanceRows(const table_service &Table);

} // namespace magnolia::platform
