#include "Quota/Rows.h"

#include <vector>

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>
#include <nlohmann/json.hpp>

#include "Common/StringView.h"

namespace magnolia::quota {

namespace {

using json = nlohmann::json;

absl::Status badRow(std::string_view Kind) {
  return absl::DataLossError(
      absl::StrCat("malformed ", common::toAbsl(Kind), " row"));
}

json parse(std::string_view Value) {
  return json::parse(Value, nullptr, /*allow_exceptions=*/false);
}

bool hasText(const json &Row, const char *Key) {
  return Row.contains(Key) && Row[Key].is_string();
}

bool hasInteger(const json &Row, const char *Key) {
  return Row.contains(Key) && Row[Key].is_number_integer();
}

} // namespace

std::string leaseKey(std::string_view Lease) {
  return absl::StrCat(common::toAbsl(LeasePrefix), common::toAbsl(Lease));
}

std::string shareKey(slot Slot) {
  return absl::StrCat(common::toAbsl(SharePrefix),
                      absl::Dec(Slot.Partition, absl::kZeroPad6), "/",
                      absl::Dec(Slot.Index, absl::kZeroPad3));
}

absl::StatusOr<slot> parseShareKey(std::string_view Key) {
  const std::vector<std::string> Parts =
      absl::StrSplit(common::toAbsl(Key), '/');
  slot Slot;
  if (Parts.size() != 4 || !absl::SimpleAtoi(Parts[2], &Slot.Partition) ||
      !absl::SimpleAtoi(Parts[3], &Slot.Index))
    return absl::InvalidArgumentError("not the key of a share row");
  return Slot;
}

std::string encode(const layout_row &Row) {
  return json{{"partitions", Row.PartitionCount}, {"slots", Row.SlotCount}}
      .dump();
}

std::string encode(const lease_row &Row) {
  return json{{"instance", Row.Instance},
              {"domain", Row.FailureDomain},
              {"address", Row.Address},
              {"boot", Row.BootId},
              {"process", Row.Process},
              {"expires", common::toUnixMicros(Row.Expires)},
              {"loan_term", Row.LoanTerm.count()},
              {"closed", Row.Closed}}
      .dump();
}

std::string encode(const share_row &Row) {
  return json{{"instance", Row.Instance}, {"lease", Row.Lease}}.dump();
}

absl::StatusOr<layout_row> decodeLayout(std::string_view Value) {
  const json Row = parse(Value);
  if (!Row.is_object() || !hasInteger(Row, "partitions") ||
      !hasInteger(Row, "slots"))
    return badRow("layout");
  layout_row Layout;
  Layout.PartitionCount = Row["partitions"].get<uint32_t>();
  Layout.SlotCount = Row["slots"].get<uint32_t>();
  if (Layout.PartitionCount == 0 || Layout.SlotCount == 0)
    return badRow("layout");
  return Layout;
}

absl::StatusOr<lease_row> decodeLease(std::string_view Value) {
  const json Row = parse(Value);
  if (!Row.is_object() || !hasText(Row, "instance") ||
      !hasText(Row, "domain") || !hasText(Row, "address") ||
      !hasText(Row, "boot") || !hasText(Row, "process") ||
      !hasInteger(Row, "expires") || !hasInteger(Row, "loan_term") ||
      !Row.contains("closed") || !Row["closed"].is_boolean())
    return badRow("lease");
  lease_row Lease;
  Lease.Instance = Row["instance"].get<std::string>();
  Lease.FailureDomain = Row["domain"].get<std::string>();
  Lease.Address = Row["address"].get<std::string>();
  Lease.BootId = Row["boot"].get<std::string>();
  Lease.Process = Row["process"].get<std::string>();
  Lease.Expires = common::fromUnixMicros(Row["expires"].get<int64_t>());
  Lease.LoanTerm = duration(Row["loan_term"].get<int64_t>());
  Lease.Closed = Row["closed"].get<bool>();
  return Lease;
}

absl::StatusOr<share_row> decodeShare(std::string_view Value) {
  const json Row = parse(Value);
  if (!Row.is_object() || !hasText(Row, "instance") || !hasText(Row, "lease"))
    return badRow("share");
  return share_row{Row["instance"].get<std::string>(),
                   Row["lease"].get<std::string>()};
}

} // namespace magnolia::quota
