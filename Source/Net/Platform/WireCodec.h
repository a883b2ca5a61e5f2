#pragma once

#include <string>
#include <string_view>
#include <vector>

#include <absl/status/statusor.h>
#include <absl/types/span.h>

#include "Platform/MemoryPlatform.h"
#include "Platform/Services.h"

/// JSON bodies of the platform's HTTP interface.
namespace magnolia::net {

/// Paths of the interface.
inline constexpr char TableRowPath[] = "/table/row";
inline constexpr char TableRowsPath[] = "/table/rows";
inline constexpr char TableCommitPath[] = "/table/commit";
inline constexpr char ObjectsPath[] = "/objects/";
inline constexpr char InstancesPath[] = "/instances";

/// A transaction as sent to the platform.
struct commit_request {
  std::vector<platform::condition> Conditions;
  std::vector<platform::write> Writes;
};

/// Each encode fails with InvalidArgument if a string is not UTF-8; each decode
/// fails with InvalidArgument if the text is not JSON of the expected
/// structure.
absl::StatusOr<std::string> encodeRow(const platform::row &Row);
absl::StatusOr<platform::row> decodeRow(std::string_view Text);

absl::StatusOr<std::string> encodeRows(absl::Span<const platform::row> Rows);
absl::StatusOr<std::vector<platform::row>> decodeRows(std::string_view Text);

absl::StatusOr<std::string>
encodeCommit(absl::Span<const platform::condition> Conditions,
             absl::Span<const platform::write> Writes);
absl::StatusOr<commit_request> decodeCommit(std::string_view Text);

absl::StatusOr<std::string>
encodeInstances(absl::Span<const platform::listed_instance> Instances);
absl::StatusOr<std::vector<platform::listed_instance>>
decodeInstances(std::string_view Text);

std::string encodeFaults(const platform::platform_faults &Faults);

/// Keys that \p Text leaves out keep the value of \p Current; an unknown key is
/// InvalidArgument.
absl::StatusOr<platform::platform_faults>
decodeFaults(std::string_view Text, platform::platform_faults Current);

} // namespace magnolia::net
