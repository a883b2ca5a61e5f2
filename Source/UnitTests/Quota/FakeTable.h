#pragma once

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "Platform/Services.h"

namespace magnolia::quota::testing {

/// The fault injected into one call to the table.
enum class table_fault { None, Refused, ReplyLost };

/// An in-memory table service whose calls a test can refuse, or leave without a
/// reply after they took effect.
class fake_table {
public:
  platform::table_service service();

  /// Called before each call; no faults if absent.
  std::function<table_fault()> Fault;

private:
  absl::StatusOr<platform::row> get(std::string_view Key);
  absl::StatusOr<std::vector<platform::row>> scan(std::string_view Prefix);
  absl::Status commit(absl::Span<const platform::condition> Conditions,
                      absl::Span<const platform::write> Writes);
  table_fault nextFault() const;

  std::map<std::string, platform::row, std::less<>> Rows;
  uint64_t LastVersion = 0;
};

} // namespace magnolia::quota::testing
