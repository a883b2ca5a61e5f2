#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "Contract/Manifest.h"

/// Differences between two configurations.
namespace magnolia::contract {

enum class entity : uint8_t { Workspace, Service, Target, Route, Key };

enum class change_kind : uint8_t { Added, Removed, Changed };

/// One entry that differs.
struct change {
  entity Entity = entity::Workspace;
  change_kind Kind = change_kind::Changed;
  /// Name of the entry; "service/target" for a target.
  std::string Name;
  /// For a changed entry each changed field as "field old -> new", otherwise
  /// all its fields.
  std::string Detail;
};

/// All entries that differ between \p Old and \p New, ordered by entity and
/// name.
std::vector<change> diff(const configuration &Old, const configuration &New);

/// Formats one line such as "~ workspace hunters: rate 10 -> 20".
std::string toText(const change &Change);

} // namespace magnolia::contract
