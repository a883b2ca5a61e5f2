#include "Platform/ConfigMessage.h"

#include <absl/strings/str_cat.h>
#include <nlohmann/json.hpp>

namespace magnolia::platform {
namespace {

using nlohmann::json;

/// Values of "kind" in encoded messages.
constexpr char QueryKind[] = "ask";
constexpr char ClaimKind[] = "claim";
constexpr char FetchKind[] = "fetch";
constexpr char ChunkKind[] = "piece";

json toJson(const config_query &Message) {
  return {{"kind", QueryKind},
          {"nonce", Message.Nonce},
          {"version", Message.Version}};
}

json toJson(const config_claim &Message) {
  json Json = {{"kind", ClaimKind},
               {"nonce", Message.Nonce},
               {"version", Message.Version},
               {"digest", Message.Digest},
               {"peers", Message.Peers}};
  if (Message.Age)
    Json["age_us"] = Message.Age->count();
  return Json;
}

json toJson(const config_fetch &Message) {
  return {{"kind", FetchKind},
          {"digest", Message.Digest},
          {"offset", Message.Offset}};
}

json toJson(const config_chunk &Message) {
  return {
      {"kind", ChunkKind},
      {"digest", Message.Digest},
      {"offset", Message.Offset},
      {"total", Message.Total},
      {"bytes", json::binary({Message.Bytes.begin(), Message.Bytes.end()})}};
}

config_claim claimFrom(const json &Json) {
  config_claim Message;
  Json.at("nonce").get_to(Message.Nonce);
  Json.at("version").get_to(Message.Version);
  Json.at("digest").get_to(Message.Digest);
  Json.at("peers").get_to(Message.Peers);
  if (const auto Age = Json.find("age_us"); Age != Json.end())
    Message.Age = std::chrono::microseconds(Age->get<int64_t>());
  return Message;
}

config_chunk chunkFrom(const json &Json) {
  const json::binary_t &Bytes = Json.at("bytes").get_binary();
  return {Json.at("digest").get<std::string>(),
          Json.at("offset").get<uint64_t>(), Json.at("total").get<uint64_t>(),
          std::string(Bytes.begin(), Bytes.end())};
}

absl::StatusOr<config_message> fromJson(const json &Json) {
  const auto Kind = Json.at("kind").get<std::string>();
  if (Kind == QueryKind)
    return config_query{Json.at("nonce").get<uint64_t>(),
                        Json.at("version").get<uint64_t>()};
  if (Kind == ClaimKind)
    return claimFrom(Json);
  if (Kind == FetchKind)
    return config_fetch{Json.at("digest").get<std::string>(),
                        Json.at("offset").get<uint64_t>()};
  if (Kind == ChunkKind)
    return chunkFrom(Json);
  return absl::InvalidArgumentError(
      absl::StrCat("'", Kind, "' is not a known message kind"));
}

} // namespace

std::string encode(const config_message &Message) {
  const json Json =
      std::visit([](const auto &Typed) { return toJson(Typed); }, Message);
  std::string Bytes;
  json::to_cbor(Json, Bytes);
  return Bytes;
}

absl::StatusOr<config_message> decodeConfigMessage(std::string_view Bytes) {
  try {
    return fromJson(json::from_cbor(Bytes));
  } catch (const json::exception &Exception) {
    return absl::InvalidArgumentError(Exception.what());
  }
}

} // namespace magnolia::platform
