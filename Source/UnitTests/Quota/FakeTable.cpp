#include "UnitTests/Quota/FakeTable.h"

namespace magnolia::quota::testing {

platform::table_service fake_table::service() {
  platform::table_service Service;
  Service.Get = [this](std::string_view Key) { return get(Key); };
  Service.Scan = [this](std::string_view Prefix) { return scan(Prefix); };
  Service.Commit = [this](absl::Span<const platform::condition> Conditions,
                          absl::Span<const platform::write> Writes) {
    return commit(Conditions, Writes);
  };
  return Service;
}

table_fault fake_table::nextFault() const {
  return Fault ? Fault() : table_fault::None;
}

absl::StatusOr<platform::row> fake_table::get(std::string_view Key) {
  if (nextFault() != table_fault::None)
    return absl::UnavailableError("injected fault");
  const auto Found = Rows.find(Key);
  if (Found == Rows.end())
    return platform::row{std::string(Key), "", 0};
  return Found->second;
}

absl::StatusOr<std::vector<platform::row>>
fake_table::scan(std::string_view Prefix) {
  if (nextFault() != table_fault::None)
    return absl::UnavailableError("injected fault");
  std::vector<platform::row> Result;
  for (auto It = Rows.lower_bound(Prefix);
       It != Rows.end() && It->first.starts_with(Prefix); ++It)
    Result.push_back(It->second);
  return Result;
}

absl::Status
fake_table::commit(absl::Span<const platform::condition> Conditions,
                   absl::Span<const platform::write> Writes) {
  const table_fault Fault = nextFault();
  if (Fault == table_fault::Refused)
    return absl::UnavailableError("injected fault");
  for (const platform::condition &Condition : Conditions) {
    const auto Found = Rows.find(Condition.Key);
    const uint64_t Version = Found == Rows.end() ? 0 : Found->second.Version;
    if (Version != Condition.Version)
      return absl::AbortedError("condition does not hold");
  }
  for (const platform::write &Write : Writes) {
    if (Write.Value)
      Rows[Write.Key] = {Write.Key, *Write.Value, ++LastVersion};
    else
      Rows.erase(Write.Key);
  }
  if (Fault == table_fault::ReplyLost)
    return absl::UnknownError("injected fault");
  return absl::OkStatus();
}

} // namespace magnolia::quota::testing
