#include "Fleet/SharedTable.h"

#include <algorithm>

namespace magnolia::fleet {

void shared_table::applySnapshot(const std::vector<stored_row> &Snapshot,
                                 uint64_t Version) {
  if (HasContent && Version < Known)
    return;
  Rows.clear();
  for (const stored_row &Row : Snapshot) {
    Rows[Row.Key] = Row;
    LastChanged = std::max(LastChanged, Row.Version);
  }
  Known = Version;
  HasContent = true;
  Hooks.OnSnapshot(Snapshot);
}

void shared_table::apply(const stored_row &Row) {
  if (Row.Removed)
    Rows.erase(Row.Key);
  else
    Rows[Row.Key] = Row;
  LastChanged = std::max(LastChanged, Row.Version);
  Hooks.OnChange(Row);
}

std::vector<stored_row>
shared_table::applyChanges(absl::Span<const stored_row> Received,
                           uint64_t Version) {
  std::vector<stored_row> New;
  for (const stored_row &Row : Received)
    if (Row.Version > Known)
      New.push_back(Row);
  Known = std::max(Known, Version);
  for (const stored_row &Row : New)
    apply(Row);
  return New;
}

relay_result shared_table::applyRelayed(uint64_t After,
                                        absl::Span<const stored_row> Received) {
  if (Received.empty() || Received.back().Version <= Known)
    return HasContent ? relay_result::Known : relay_result::Gap;
  if (!HasContent || After > Known)
    return relay_result::Gap;
  applyChanges(Received, Received.back().Version);
  return relay_result::Applied;
}

std::vector<stored_row> shared_table::rows() const {
  std::vector<stored_row> All;
  All.reserve(Rows.size());
  for (const auto &[Key, Row] : Rows)
    All.push_back(Row);
  return All;
}

} // namespace magnolia::fleet
