#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace magnolia::fleet {

/// A point in the history of the store. A store that is restored from an older
/// copy starts a new era, in which it gives versions out again: only positions
/// of one era are ordered by their version.
struct store_position {
  /// Increases with each restore; zero where the store does not say.
  uint64_t Era = 0;
  uint64_t Version = 0;

  friend bool operator==(const store_position &,
                         const store_position &) = default;
  friend std::strong_ordering operator<=>(const store_position &Left,
                                          const store_position &Right) {
    const auto ByEra = Left.Era <=> Right.Era;
    return std::is_neq(ByEra) ? ByEra : Left.Version <=> Right.Version;
  }
};

/// A row of one of the store's tables, as it was stored.
struct stored_row {
  std::string Key;
  std::string Value;
  /// The store's version of this change; increases over all tables in one era.
  uint64_t Version = 0;
  bool Removed = false;

  friend bool operator==(const stored_row &, const stored_row &) = default;
};

} // namespace magnolia::fleet
