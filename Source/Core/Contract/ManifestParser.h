#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include <absl/status/statusor.h>

#include "Contract/Manifest.h"

/// Reading of manifests, as the operators' pipeline writes them in YAML.
namespace magnolia::contract {

/// A manifest without mistakes.
struct parsed_manifest {
  manifest Manifest;
  /// The version that the pipeline started from; where given, the manifest is
  /// refused once another version is in force.
  std::optional<uint64_t> BasedOn;
};

/// Reads \p Text; \p File stands in messages. InvalidArgument carries a line
/// "file:line: key: mistake" for each mistake, all at once.
absl::StatusOr<parsed_manifest> parseManifest(std::string_view Text,
                                              const std::string &File);

/// Whether \p Name may name a workspace, service, target, route or key:
/// letters, digits, '.', '_' and '-', beginning with a letter or digit.
bool isName(std::string_view Name);

} // namespace magnolia::contract
