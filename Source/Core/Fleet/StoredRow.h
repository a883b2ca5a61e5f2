#pragma once

#include <cstdint>
#include <string>

namespace magnolia::fleet {

/// A row of one of the store's tables, as it was stored.
struct stored_row {
  std::string Key;
  std::string Value;
  /// The store's version of this change; increases over all tables.
  uint64_t Version = 0;
  bool Removed = false;

  friend bool operator==(const stored_row &, const stored_row &) = default;
};

} // namespace magnolia::fleet
