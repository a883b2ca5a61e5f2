#include "Platform/InstanceRow.h"

#include <absl/strings/str_cat.h>
#include <nlohmann/json.hpp>

#include "Common/Log.h"
#include "Common/StringView.h"

namespace magnolia::platform {

using nlohmann::json;

std::string instanceRowKey(std::string_view Name) {
  return absl::StrCat(common::toAbsl(InstanceRowPrefix), common::toAbsl(Name));
}

std::string encode(const instance_row &Row) {
  const json Json = {{"name", Row.Name},
                     {"caller_address", Row.CallerAddress},
                     {"peer_address", Row.PeerAddress},
                     {"failure_domain", Row.FailureDomain},
                     {"boot_id", Row.BootId},
                     {"incarnation", Row.Incarnation},
                     {"version", Row.Version},
                     {"updated_unix_us", common::toUnixMicros(Row.Updated)}};
  return Json.dump();
}

absl::StatusOr<instance_row> decodeInstanceRow(std::string_view Text) {
  try {
    const json Json = json::parse(Text);
    instance_row Row;
    Json.at("name").get_to(Row.Name);
    Json.at("caller_address").get_to(Row.CallerAddress);
    Json.at("peer_address").get_to(Row.PeerAddress);
    Json.at("failure_domain").get_to(Row.FailureDomain);
    Json.at("boot_id").get_to(Row.BootId);
    Json.at("incarnation").get_to(Row.Incarnation);
    Json.at("version").get_to(Row.Version);
    Row.Updated =
        common::fromUnixMicros(Json.at("updated_unix_us").get<int64_t>());
    return Row;
  } catch (const json::exception &Exception) {
    return absl::DataLossError(
        absl::StrCat("not an instance row: ", Exception.what()));
  }
}

absl::StatusOr<std::vector<instance_row>>
readInstanceRows(const table_service &Table) {
  const auto Rows = Table.Scan(InstanceRowPrefix);
  if (!Rows.ok())
    return Rows.status();
  std::vector<instance_row> Instances;
  for (const row &Row : *Rows) {
    const auto Instance = decodeInstanceRow(Row.Value);
    if (Instance.ok())
      Instances.push_back(*Instance);
    else
      common::log(common::log_level::Warning, "Platform",
                  "skipping malformed instance row",
                  {{"row", Row.Key},
                   {"detail", std::string(Instance.status().message())}});
  }
  return Instances;
}

} // namespace magnolia::platform
