#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <absl/types/span.h>

#include "Fleet/StoredRow.h"

namespace magnolia::fleet {

/// What a table's owner provides.
struct table_hooks {
  /// The table now holds exactly these rows.
  std::function<void(const std::vector<stored_row> &Rows)> OnSnapshot;
  std::function<void(const stored_row &Row)> OnChange;
  /// The content is replaced by that of a store that was restored from an older
  /// copy; OnSnapshot follows.
  std::function<void()> OnRestored;
  /// A hash of what matters in a row's value, the same on every instance. A
  /// row whose hash stays the same was only renewed by its owner, and peers do
  /// not hear of it. Without this hook the whole value matters.
  std::function<uint64_t(const stored_row &Row)> HashOf;
};

/// Which content of a table an instance has.
struct table_status {
  /// Every change up to it is included; version zero without content.
  store_position Position;
  /// Equal for equal keys and hashes of rows.
  uint32_t Digest = 0;

  friend bool operator==(const table_status &, const table_status &) = default;
};

/// The content that a peer fetches.
struct table_content {
  /// Every change up to it is included.
  store_position Position;
  /// The rows are the changes that the peer lacks; otherwise the full table.
  bool ChangesOnly = false;
  std::vector<stored_row> Rows;
};

/// One instance's replica of a table of the store, updated by the store or by
/// peers. Each change is applied once and none is undone by an older one, in
/// whatever order they arrive. When the store was restored from an older copy,
/// its full table replaces the content, and whatever is still on its way from
/// before is ignored. Peers forward changes that may be lost; replicas
/// with equal digests hold the same content, so that each learns from the
/// status of the others whether it missed one. Load pattern: hundreds of
/// targets that renew their rows every second or two, nearly always without a
/// change. Reads no clock; not thread-safe.
class shared_table {
public:
  explicit shared_table(table_hooks Hooks) : Hooks(std::move(Hooks)) {}

  /// Replaces the content by the full table at \p Position, from the store or a
  /// peer; rows with later changes of the same era stay. An older snapshot
  /// changes nothing.
  void applySnapshot(const std::vector<stored_row> &Rows,
                     store_position Position);

  /// Applies the changes up to \p Position, from the store. Returns those that
  /// change the digest. Changes of another era than the content's are ignored.
  std::vector<stored_row> applyChanges(absl::Span<const stored_row> Rows,
                                       store_position Position);

  /// Applies single changes of \p Era that a peer forwarded; those of another
  /// era than the content's are ignored.
  void applyForwarded(absl::Span<const stored_row> Rows, uint64_t Era);

  /// Applies what was fetched from a peer.
  void applyContent(const table_content &Content);

  /// Compares the replica with that of a peer. Equal content includes every
  /// change that the peer's does. False if the peer may have changes that the
  /// replica lacks.
  bool includes(const table_status &Status);

  /// The content for a peer that has every change up to \p Position.
  table_content contentAfter(store_position Position) const;

  table_status status() const { return {Known, Digest}; }
  bool hasContent() const { return HasContent; }

  /// Number of rows.
  size_t size() const { return Rows.size(); }

private:
  struct entry {
    stored_row Row;
    uint64_t Hash = 0;
    /// The version of the last change of the hash.
    uint64_t ChangedAt = 0;
  };

  /// True if the digest changed.
  bool apply(const stored_row &Row);
  /// Empties the replica for the content of a later era.
  void startEra(uint64_t Era);
  bool isOutdated(const stored_row &Row) const;
  void put(const stored_row &Row);
  bool removeRow(const std::string &Key, uint64_t Version);
  void removeMissing(const std::vector<stored_row> &Snapshot, uint64_t Version);
  void forgetOldRemovals();
  uint64_t hashOf(const stored_row &Row) const;
  std::vector<stored_row> allRows() const;

  const table_hooks Hooks;
  std::map<std::string, entry> Rows;
  /// The versions of removals by key: an earlier change that arrives late must
  /// not bring the row back, and peers that fetch changes need them.
  std::map<std::string, uint64_t> Removals;
  /// The changes after this version are known one by one.
  uint64_t ChangesSince = 0;
  store_position Known;
  uint32_t Digest = 0;
  bool HasContent = false;
};

} // namespace magnolia::fleet
