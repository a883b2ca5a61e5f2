#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "Common/Time.h"
#include "Fleet/StoredRow.h"

namespace magnolia::gateway {

/// How a call to the store ended.
enum class store_result : uint8_t {
  Done,
  /// Changes since the version asked for are no longer kept.
  HistoryLost,
  /// Nothing was done.
  Refused,
  /// No answer came; a write may have taken effect.
  NoReply,
};

using fleet::stored_row;

struct store_reply {
  store_result Result = store_result::NoReply;
  std::vector<stored_row> Rows;
  /// The store's newest version.
  uint64_t Version = 0;
  /// There are more rows behind the last one.
  bool Truncated = false;
};

using store_callback = std::function<void(store_reply Reply)>;

/// One table of the store. Calls return at once; the callback comes later, and
/// always comes.
struct store_table {
  /// The rows from \p From on, in key order.
  std::function<void(const std::string &From, store_callback OnReply)> Read;
  /// The rows changed after a version, as soon as there are any or the wait is
  /// over.
  std::function<void(uint64_t After, common::boot_clock::duration Wait,
                     store_callback OnReply)>
      Follow;
  std::function<void(const std::string &Key, const std::string &Value,
                     store_callback OnReply)>
      Write;
};

} // namespace magnolia::gateway
