#pragma once

#include <map>
#include <string>

#include "Platform/Services.h"

namespace magnolia::test {

/// An in-memory table that can be unavailable or lose the reply of a commit.
struct memory_table {
  platform::table_service service() {
    platform::table_service Service;
    Service.Get =
        [this](std::string_view Key) -> absl::StatusOr<platform::row> {
      if (Unavailable)
        return absl::UnavailableError("the table is unavailable");
      return Rows[std::string(Key)];
    };
    Service.Commit = [this](absl::Span<const platform::condition> Conditions,
                            absl::Span<const platform::write> Writes) {
      platform::row &Row = Rows[Conditions[0].Key];
      if (Row.Version != Conditions[0].Version)
        return absl::AbortedError("the row has another version");
      Row = {Writes[0].Key, *Writes[0].Value, Row.Version + 1};
      return LoseReplies ? absl::UnknownError("the reply was lost")
                         : absl::OkStatus();
    };
    return Service;
  }

  std::map<std::string, platform::row> Rows;
  bool Unavailable = false;
  bool LoseReplies = false;
};

} // namespace magnolia::test
