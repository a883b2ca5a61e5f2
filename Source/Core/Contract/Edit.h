#pragma once

#include <string_view>

#include <absl/status/status.h>

#include "Contract/Manifest.h"

/// Edits of a configuration by operators. They do not change the version, and
/// leave the configuration unchanged if they fail.
namespace magnolia::contract {

/// Replaces the manifest and keeps the keys. Keys of workspaces that are not in
/// \p Manifest are revoked, so that a later workspace of the same name starts
/// without keys.
void replaceManifest(configuration &Configuration, manifest Manifest);

/// Adds \p Key. NotFound if its workspace does not exist; AlreadyExists if the
/// id or the digest was issued before, even if that key is revoked;
/// InvalidArgument if the id is not a valid name.
absl::Status issueKey(configuration &Configuration, key Key);

/// Marks the key as revoked; it stays listed. NotFound if there is no such key;
/// AlreadyExists if it is already revoked.
absl::Status revokeKey(configuration &Configuration, std::string_view Id);

} // namespace magnolia::contract
