#pragma once

#include <string_view>

#include <absl/status/status.h>

#include "Contract/Manifest.h"

/// The edits that operators make to a configuration. Each leaves the version as
/// it is and changes nothing where it fails.
namespace magnolia::contract {

/// Replaces the manifest. Keys stay; those of workspaces that \p Manifest no
/// longer has are revoked, so that a later workspace of that name starts
/// without keys.
void replaceManifest(configuration &Configuration, manifest Manifest);

/// Adds \p Key. NotFound without its workspace; AlreadyExists where the id or
/// the digest was ever issued, also if it is revoked since.
absl::Status issueKey(configuration &Configuration, key Key);

/// Marks the key as revoked; it stays listed. NotFound where there is none;
/// AlreadyExists where it is revoked already.
absl::Status revokeKey(configuration &Configuration, std::string_view Id);

} // namespace magnolia::contract
