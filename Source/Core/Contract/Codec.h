#pragma once

#include <string>
#include <string_view>

#include <absl/status/statusor.h>

#include "Contract/Manifest.h"

/// Encoding of configurations for storage and transfer.
namespace magnolia::contract {

/// Encodes as canonical JSON: entries are keyed and ordered by name, so that
/// equal content gives equal bytes and the same digest.
std::string encode(const configuration &Configuration);

/// The inverse of encode, with every list ordered by name. DataLoss if \p Text
/// is malformed.
absl::StatusOr<configuration> decode(std::string_view Text);

} // namespace magnolia::contract
