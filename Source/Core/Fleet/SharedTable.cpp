#include "Fleet/SharedTable.h"

#include <algorithm>

#include <absl/container/flat_hash_set.h>

#include "Common/Digest.h"

namespace magnolia::fleet {
namespace {

/// Removals that are kept; a peer that lacks earlier ones gets the full table.
constexpr size_t MaxRemovals = 4096;

/// The part of a row in the digest of a table, the XOR of those of all rows.
uint32_t digestOf(std::string_view Key, uint64_t Hash) {
  return static_cast<uint32_t>(common::stableHash(Key, Hash));
}

} // namespace

uint64_t shared_table::hashOf(const stored_row &Row) const {
  return Hooks.HashOf ? Hooks.HashOf(Row) : common::stableHash(Row.Value);
}

bool shared_table::isOutdated(const stored_row &Row) const {
  if (Row.Version <= Known.Version)
    return true;
  if (const auto Found = Rows.find(Row.Key);
      Found != Rows.end() && Row.Version <= Found->second.Row.Version)
    return true;
  const auto Removal = Removals.find(Row.Key);
  return Removal != Removals.end() && Row.Version <= Removal->second;
}

void shared_table::put(const stored_row &Row) {
  const uint64_t Hash = hashOf(Row);
  entry &Entry = Rows[Row.Key];
  const bool IsNew = Entry.Row.Key.empty();
  if (IsNew || Entry.Hash != Hash) {
    if (!IsNew)
      Digest ^= digestOf(Row.Key, Entry.Hash);
    Digest ^= digestOf(Row.Key, Hash);
    Entry.Hash = Hash;
    Entry.ChangedAt = Row.Version;
  }
  Entry.Row = Row;
  Removals.erase(Row.Key);
}

bool shared_table::removeRow(const std::string &Key, uint64_t Version) {
  uint64_t &RemovedAt = Removals[Key];
  RemovedAt = std::max(RemovedAt, Version);
  const auto Found = Rows.find(Key);
  if (Found == Rows.end())
    return false;
  Digest ^= digestOf(Key, Found->second.Hash);
  Rows.erase(Found);
  return true;
}

bool shared_table::apply(const stored_row &Row) {
  const uint32_t Before = Digest;
  if (Row.Removed)
    removeRow(Row.Key, Row.Version);
  else
    put(Row);
  Hooks.OnChange(Row);
  return Digest != Before;
}

void shared_table::forgetOldRemovals() {
  while (Removals.size() > MaxRemovals) {
    const auto Oldest =
        std::min_element(Removals.begin(), Removals.end(),
                         [](const auto &Left, const auto &Right) {
                           return Left.second < Right.second;
                         });
    // A change up to the known version is outdated without the removal.
    if (Oldest->second > Known.Version)
      return;
    ChangesSince = std::max(ChangesSince, Oldest->second);
    Removals.erase(Oldest);
  }
}

void shared_table::removeMissing(const std::vector<stored_row> &Snapshot,
                                 uint64_t Version) {
  absl::flat_hash_set<std::string> Listed;
  for (const stored_row &Row : Snapshot)
    Listed.insert(Row.Key);
  std::vector<std::string> Missing;
  for (const auto &[Key, Entry] : Rows)
    if (Entry.Row.Version <= Version && !Listed.contains(Key))
      Missing.push_back(Key);
  for (const std::string &Key : Missing)
    removeRow(Key, Version);
}

void shared_table::startEra(uint64_t Era) {
  Rows.clear();
  Removals.clear();
  Digest = 0;
  Known = {Era, 0};
}

void shared_table::applySnapshot(const std::vector<stored_row> &Snapshot,
                                 store_position Position) {
  if (HasContent && Position < Known)
    return;
  const bool Restored = HasContent && Position.Era > Known.Era;
  if (Restored)
    startEra(Position.Era);
  if (!HasContent || Restored)
    ChangesSince = Position.Version;
  removeMissing(Snapshot, Position.Version);
  // Rows of a snapshot can be as old as the table, so they are compared with
  // the replica's rows and not with the known version.
  Known.Version = 0;
  for (const stored_row &Row : Snapshot)
    if (!isOutdated(Row))
      put(Row);
  Known = Position;
  HasContent = true;
  forgetOldRemovals();
  if (Restored && Hooks.OnRestored)
    Hooks.OnRestored();
  Hooks.OnSnapshot(allRows());
}

std::vector<stored_row>
shared_table::applyChanges(absl::Span<const stored_row> Received,
                           store_position Position) {
  std::vector<stored_row> Changed;
  if (Position.Era != Known.Era)
    return Changed;
  for (const stored_row &Row : Received)
    if (!isOutdated(Row) && apply(Row))
      Changed.push_back(Row);
  Known = std::max(Known, Position);
  forgetOldRemovals();
  return Changed;
}

void shared_table::applyForwarded(absl::Span<const stored_row> Received,
                                  uint64_t Era) {
  if (!HasContent || Era != Known.Era)
    return;
  for (const stored_row &Row : Received)
    if (!isOutdated(Row))
      apply(Row);
}

void shared_table::applyContent(const table_content &Content) {
  if (Content.ChangesOnly)
    applyChanges(Content.Rows, Content.Position);
  else
    applySnapshot(Content.Rows, Content.Position);
}

bool shared_table::includes(const table_status &Status) {
  if (Status.Position <= Known)
    return true;
  const bool Comparable = HasContent && Status.Position.Era == Known.Era;
  if (!Comparable || Status.Digest != Digest)
    return false;
  Known = Status.Position;
  return true;
}

table_content shared_table::contentAfter(store_position Position) const {
  table_content Content;
  Content.Position = Known;
  Content.ChangesOnly = Position.Era == Known.Era && Position.Version > 0 &&
                        Position.Version >= ChangesSince;
  if (!Content.ChangesOnly) {
    Content.Rows = allRows();
    return Content;
  }
  for (const auto &[Key, Entry] : Rows)
    if (Entry.ChangedAt > Position.Version)
      Content.Rows.push_back(Entry.Row);
  for (const auto &[Key, RemovedAt] : Removals)
    if (RemovedAt > Position.Version)
      Content.Rows.push_back({Key, "", RemovedAt, true});
  return Content;
}

std::vector<stored_row> shared_table::allRows() const {
  std::vector<stored_row> All;
  All.reserve(Rows.size());
  for (const auto &[Key, Entry] : Rows)
    All.push_back(Entry.Row);
  return All;
}

} // namespace magnolia::fleet
