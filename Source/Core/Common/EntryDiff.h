#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include <absl/container/btree_map.h>

/// Comparison of two versions of named entries, such as the routes of a
/// configuration.
namespace magnolia::common {

/// Maps the names of fields, which must be literals, to printed values.
using entry_fields = absl::btree_map<std::string_view, std::string>;

/// All entries of one kind.
struct entry_group {
  /// Such as "route"; a literal.
  std::string_view Kind;
  /// Maps the names of entries to their fields.
  absl::btree_map<std::string, entry_fields> Entries;
};

enum class change_kind : uint8_t { Added, Removed, Changed };

/// One entry that differs.
struct entry_change {
  /// Kind of the entry.
  std::string_view Entity;
  change_kind Kind = change_kind::Changed;
  std::string Name;
  /// For a changed entry each changed field as "field old -> new", otherwise
  /// all its fields.
  std::string Detail;
};

/// All entries that differ, ordered by group and name. Both lists have the same
/// groups in the same order.
std::vector<entry_change> diffEntries(const std::vector<entry_group> &Old,
                                      const std::vector<entry_group> &New);

/// "added", "removed" or "changed".
std::string_view nameOf(change_kind Kind);

/// "yes" or "no", for a field that is true or false.
std::string yesNo(bool Flag);

/// Formats one line such as "~ workspace hunters: rate 10 -> 20".
std::string toText(const entry_change &Change);

} // namespace magnolia::common
