#include "Request/LostClaims.h"

#include <nlohmann/json.hpp>

namespace magnolia::request {

using common::wall_time;
using nlohmann::json;

namespace {

/// The record in \p Row if it is about the era in which the row was read.
std::optional<restore_record> recordOfEra(const platform::row &Row) {
  if (Row.Version == 0)
    return std::nullopt;
  auto Record = decodeRestore(Row.Value);
  return Record && Record->Era == Row.Era ? Record : std::nullopt;
}

absl::Status replace(const platform::table_service &Table,
                     const platform::row &Row, const restore_record &Record) {
  const platform::condition Condition{std::string(RestoreRowKey), Row.Version};
  const platform::write Write{std::string(RestoreRowKey),
                              encodeRestore(Record)};
  return Table.Commit({&Condition, 1}, {&Write, 1});
}

} // namespace

std::string encodeRestore(const restore_record &Record) {
  return json{{"era", Record.Era},
              {"noticed_us", common::toUnixMicros(Record.Noticed)},
              {"settled_by", Record.SettledBy}}
      .dump();
}

std::optional<restore_record> decodeRestore(std::string_view Bytes) {
  try {
    const json Root = json::parse(Bytes);
    restore_record Record;
    Record.Era = Root.at("era").get<uint64_t>();
    Record.Noticed =
        common::fromUnixMicros(Root.at("noticed_us").get<int64_t>());
    Record.SettledBy = Root.at("settled_by").get<std::string>();
    return Record;
  } catch (const json::exception &) {
    return std::nullopt;
  }
}

absl::StatusOr<claim_coverage>
readCoverage(const platform::table_service &Table, wall_time Now,
             std::chrono::milliseconds ClaimLife) {
  const auto Row = Table.Get(RestoreRowKey);
  if (!Row.ok())
    return Row.status();
  if (Row->Era == 0)
    return claim_coverage{};
  const auto Record = recordOfEra(*Row);
  if (!Record) {
    // Without the record the time starts again with the next reader, which only
    // prolongs it.
    replace(Table, *Row, {Row->Era, Now, ""}).IgnoreError();
    return claim_coverage{Row->Era, Now + ClaimLife};
  }
  const wall_time MissingUntil = Record->Noticed + ClaimLife;
  if (!Record->SettledBy.empty() || Now > MissingUntil)
    return claim_coverage{Row->Era, std::nullopt};
  return claim_coverage{Row->Era, MissingUntil};
}

absl::Status settleLostClaims(const platform::table_service &Table,
                              const std::string &Operator, wall_time Now) {
  const auto Row = Table.Get(RestoreRowKey);
  if (!Row.ok())
    return Row.status();
  if (Row->Era == 0)
    return absl::FailedPreconditionError("the table was never restored");
  auto Record = recordOfEra(*Row);
  if (!Record)
    Record = restore_record{Row->Era, Now, ""};
  Record->SettledBy = Operator;
  return replace(Table, *Row, *Record);
}

} // namespace magnolia::request
