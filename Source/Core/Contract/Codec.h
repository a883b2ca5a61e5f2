#pragma once

#include <string>
#include <string_view>

#include <absl/status/statusor.h>

#include "Contract/Manifest.h"

/// The form in which a configuration is stored and travels.
namespace magnolia::contract {

/// Canonical JSON: entries are keyed and ordered by name, so that equal content
/// gives equal bytes and thus one digest.
std::string encode(const configuration &Configuration);

/// The inverse of encode, with every list ordered by name. DataLoss where
/// \p Text is not such a form.
absl::StatusOr<configuration> decode(std::string_view Text);

} // namespace magnolia::contract
