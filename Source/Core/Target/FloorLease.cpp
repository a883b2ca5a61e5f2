#include "Target/FloorLease.h"

#include <utility>
#include <vector>

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>

namespace magnolia::target {
namespace {

struct lease_row {
  std::string Holder;
  common::wall_time Until;
};

lease_row parseRow(const std::string &Value) {
  const std::pair<std::string, std::string> Parts =
      absl::StrSplit(Value, absl::MaxSplits(' ', 1));
  int64_t Until = 0;
  if (!absl::SimpleAtoi(Parts.first, &Until))
    return {};
  return {Parts.second, common::fromUnixMicros(Until)};
}

} // namespace

absl::Status floor_lease::write(const platform::table_service &Table,
                                const platform::row &Row,
                                common::wall_time Until) {
  const std::vector<platform::condition> Conditions = {{RowKey, Row.Version}};
  const std::vector<platform::write> Writes = {
      {RowKey, absl::StrCat(common::toUnixMicros(Until), " ", Holder)}};
  return Table.Commit(Conditions, Writes);
}

absl::Status floor_lease::poll(const platform::table_service &Table,
                               common::wall_time WallNow,
                               common::boot_time BootNow) {
  if (heldUntil() - BootNow > Settings.Term / 2)
    return absl::OkStatus();
  const absl::StatusOr<platform::row> Row = Table.Get(RowKey);
  if (!Row.ok())
    return Row.status();
  const lease_row Lease = parseRow(Row->Value);
  const bool Free = Row->Version == 0 || Lease.Holder == Holder ||
                    Lease.Until + Settings.ClockMargin < WallNow;
  if (!Free)
    return absl::OkStatus();
  absl::Status Written = write(Table, *Row, WallNow + Settings.Term);
  // After a write with unknown result the lease does not count as held; the
  // next poll reads the row again.
  if (!Written.ok())
    return Written;
  const absl::MutexLock Lock(&Mutex);
  HeldUntil = BootNow + Settings.Term - Settings.ClockMargin;
  return absl::OkStatus();
}

absl::Status floor_lease::release(const platform::table_service &Table,
                                  common::wall_time LastInForce) {
  {
    const absl::MutexLock Lock(&Mutex);
    HeldUntil = common::boot_time();
  }
  const absl::StatusOr<platform::row> Row = Table.Get(RowKey);
  if (!Row.ok())
    return Row.status();
  if (parseRow(Row->Value).Holder != Holder)
    return absl::OkStatus();
  return write(Table, *Row, LastInForce);
}

common::boot_time floor_lease::heldUntil() const {
  const absl::MutexLock Lock(&Mutex);
  return HeldUntil;
}

} // namespace magnolia::target
