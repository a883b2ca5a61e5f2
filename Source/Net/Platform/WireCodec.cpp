#include "Net/Platform/WireCodec.h"

#include <absl/strings/str_cat.h>
#include <nlohmann/json.hpp>

namespace magnolia::net {
namespace {

using nlohmann::json;
using platform::condition;
using platform::listed_instance;
using platform::platform_faults;
using platform::row;
using platform::write;

absl::StatusOr<std::string> dump(const json &Json) {
  try {
    return Json.dump();
  } catch (const json::exception &Exception) {
    return absl::InvalidArgumentError(Exception.what());
  }
}

/// Runs \p Decode on the parsed text; JSON exceptions become InvalidArgument.
template <typename Function>
auto decodeJson(std::string_view Text, const Function &Decode)
    -> absl::StatusOr<decltype(Decode(json()))> {
  try {
    return Decode(json::parse(Text));
  } catch (const json::exception &Exception) {
    return absl::InvalidArgumentError(Exception.what());
  }
}

json rowToJson(const row &Row) {
  return {{"key", Row.Key},
          {"value", Row.Value},
          {"version", Row.Version},
          {"era", Row.Era}};
}

row rowFromJson(const json &Json) {
  return {Json.at("key").get<std::string>(),
          Json.at("value").get<std::string>(),
          Json.at("version").get<uint64_t>(), Json.value("era", uint64_t{0})};
}

json writeToJson(const write &Write) {
  json Json = {{"key", Write.Key}, {"value", nullptr}};
  if (Write.Value)
    Json["value"] = *Write.Value;
  return Json;
}

write writeFromJson(const json &Json) {
  write Write{Json.at("key").get<std::string>(), std::nullopt};
  if (const json &Value = Json.at("value"); !Value.is_null())
    Write.Value = Value.get<std::string>();
  return Write;
}

commit_request commitFromJson(const json &Json) {
  commit_request Request;
  for (const json &Item : Json.at("conditions"))
    Request.Conditions.push_back({Item.at("key").get<std::string>(),
                                  Item.at("version").get<uint64_t>()});
  for (const json &Item : Json.at("writes"))
    Request.Writes.push_back(writeFromJson(Item));
  return Request;
}

/// Sets the fault named \p Key; false if there is none.
bool setFault(platform_faults &Faults, const std::string &Key,
              const json &Value) {
  if (Key == "down")
    Value.get_to(Faults.Down);
  else if (Key == "delay_ms")
    Faults.Delay = std::chrono::milliseconds(Value.get<uint32_t>());
  else if (Key == "lose_replies")
    Value.get_to(Faults.LoseReplies);
  else if (Key == "hold_commits")
    Value.get_to(Faults.HoldCommits);
  else
    return false;
  return true;
}

} // namespace

absl::StatusOr<std::string> encodeRow(const row &Row) {
  return dump(rowToJson(Row));
}

absl::StatusOr<row> decodeRow(std::string_view Text) {
  return decodeJson(Text, rowFromJson);
}

absl::StatusOr<std::string> encodeRows(absl::Span<const row> Rows) {
  json Json = json::array();
  for (const row &Row : Rows)
    Json.push_back(rowToJson(Row));
  return dump(Json);
}

absl::StatusOr<std::vector<row>> decodeRows(std::string_view Text) {
  return decodeJson(Text, [](const json &Json) {
    std::vector<row> Rows;
    for (const json &Item : Json)
      Rows.push_back(rowFromJson(Item));
    return Rows;
  });
}

absl::StatusOr<std::string> encodeCommit(absl::Span<const condition> Conditions,
                                         absl::Span<const write> Writes) {
  json Json = {{"conditions", json::array()}, {"writes", json::array()}};
  for (const condition &Condition : Conditions)
    Json["conditions"].push_back(
        {{"key", Condition.Key}, {"version", Condition.Version}});
  for (const write &Write : Writes)
    Json["writes"].push_back(writeToJson(Write));
  return dump(Json);
}

absl::StatusOr<commit_request> decodeCommit(std::string_view Text) {
  return decodeJson(Text, commitFromJson);
}

absl::StatusOr<std::string>
encodeInstances(absl::Span<const listed_instance> Instances) {
  json Json = json::array();
  for (const listed_instance &Instance : Instances)
    Json.push_back({{"name", Instance.Name}, {"leaving", Instance.Draining}});
  return dump(Json);
}

absl::StatusOr<std::vector<listed_instance>>
decodeInstances(std::string_view Text) {
  return decodeJson(Text, [](const json &Json) {
    std::vector<listed_instance> Instances;
    for (const json &Item : Json)
      Instances.push_back(
          {Item.at("name").get<std::string>(), Item.at("leaving").get<bool>()});
    return Instances;
  });
}

std::string encodeFaults(const platform_faults &Faults) {
  using std::chrono::duration_cast;
  using std::chrono::milliseconds;
  const json Json = {
      {"down", Faults.Down},
      {"delay_ms", duration_cast<milliseconds>(Faults.Delay).count()},
      {"lose_replies", Faults.LoseReplies},
      {"hold_commits", Faults.HoldCommits}};
  return Json.dump();
}

absl::StatusOr<platform_faults> decodeFaults(std::string_view Text,
                                             platform_faults Current) {
  std::string Unknown;
  auto Faults = decodeJson(Text, [&](const json &Json) {
    for (const auto &[Key, Value] : Json.items())
      if (!setFault(Current, Key, Value))
        Unknown = Key;
    return Current;
  });
  if (!Unknown.empty())
    return absl::InvalidArgumentError(
        absl::StrCat("'", Unknown, "' is not a fault"));
  return Faults;
}

} // namespace magnolia::net
