#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "Common/Time.h"
#include "Fleet/StoredRow.h"

namespace magnolia::gateway {

/// How a call to the store ended.
enum class store_result : uint8_t {
  Done,
  /// The store no longer keeps the changes after the requested version.
  HistoryLost,
  /// The call had no effect.
  Refused,
  /// No reply arrived; a write may have taken effect.
  NoReply,
};

using fleet::stored_row;

struct store_reply {
  store_result Result = store_result::NoReply;
  std::vector<stored_row> Rows;
  /// As in store_position; none if the reply does not say.
  std::optional<uint64_t> Era;
  /// The store's newest version.
  uint64_t Version = 0;
  /// More rows follow the last one.
  bool Truncated = false;
};

/// A row that is written, or removed if it has no value.
struct row_write {
  std::string Key;
  std::optional<std::string> Value;
};

/// Rows in one transaction.
constexpr size_t MaxWrittenRows = 100;

using store_callback = std::function<void(store_reply Reply)>;

/// One table of the store. Calls return immediately; the callback is always
/// called, and only later.
struct store_table {
  /// Reads the rows from \p From on, in key order.
  std::function<void(const std::string &From, store_callback OnReply)> Read;
  /// Long-polls the rows changed after a version; replies when there are any or
  /// the wait is over.
  std::function<void(uint64_t After, common::boot_clock::duration Wait,
                     store_callback OnReply)>
      Follow;
  /// Writes all rows, at most MaxWrittenRows, in one transaction.
  std::function<void(const std::vector<row_write> &Rows,
                     store_callback OnReply)>
      Write;
};

} // namespace magnolia::gateway
