#pragma once

#include <functional>
#include <map>
#include <string>
#include <vector>

#include <absl/types/span.h>

#include "Fleet/StoredRow.h"

namespace magnolia::fleet {

/// Called when the content of a table changes.
struct table_hooks {
  /// The table now holds exactly these rows.
  std::function<void(const std::vector<stored_row> &Rows)> OnSnapshot;
  std::function<void(const stored_row &Row)> OnChange;
};

/// Whether changes that a peer forwarded could be applied.
enum class relay_result : uint8_t {
  Applied,
  /// All of them are already in the replica.
  Known,
  /// Earlier changes are missing.
  Gap,
};

/// One instance's replica of a table of the store, updated by the store or by
/// peers. Each change is applied once and none is undone by an older one, in
/// whatever order they arrive. Reads no clock; not thread-safe.
class shared_table {
public:
  explicit shared_table(table_hooks Hooks) : Hooks(std::move(Hooks)) {}

  /// Replaces the content by the full table at \p Version, from the store or a
  /// peer. An older snapshot changes nothing.
  void applySnapshot(const std::vector<stored_row> &Rows, uint64_t Version);

  /// Applies the changes up to \p Version, from the store. Returns those that
  /// are new.
  std::vector<stored_row> applyChanges(absl::Span<const stored_row> Rows,
                                       uint64_t Version);

  /// Applies all changes after \p After up to the last of \p Rows, from a peer.
  relay_result applyRelayed(uint64_t After, absl::Span<const stored_row> Rows);

  /// The replica includes every change up to this version.
  uint64_t knownThrough() const { return Known; }
  /// The version of the last change in the replica.
  uint64_t lastChange() const { return LastChanged; }
  bool hasContent() const { return HasContent; }

  std::vector<stored_row> rows() const;

private:
  void apply(const stored_row &Row);

  const table_hooks Hooks;
  std::map<std::string, stored_row> Rows;
  uint64_t Known = 0;
  uint64_t LastChanged = 0;
  bool HasContent = false;
};

} // namespace magnolia::fleet
