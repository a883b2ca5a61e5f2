#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include <absl/status/statusor.h>

#include "Common/YamlReader.h"
#include "Contract/Manifest.h"

/// Parser for the YAML manifests written by the operators' pipeline.
namespace magnolia::contract {

/// A valid manifest.
struct parsed_manifest {
  manifest Manifest;
  /// The version that the pipeline started from; if set, the manifest is
  /// rejected when another version is in force.
  std::optional<uint64_t> BasedOn;
};

/// Parses \p Text; \p File is the file name for messages. On errors, returns
/// InvalidArgument with one line "file:line: key: message" for every error.
absl::StatusOr<parsed_manifest> parseManifest(std::string_view Text,
                                              const std::string &File);

/// Parses \p Text and adds every error to \p Errors. The result is valid only
/// if there are none.
parsed_manifest parseManifest(std::string_view Text,
                              common::yaml_errors &Errors);

/// Whether \p Name is a valid name of a workspace, service, target, route or
/// key: at most 64 letters, digits, '.', '_' and '-', starting with a letter or
/// digit.
bool isName(std::string_view Name);

} // namespace magnolia::contract
