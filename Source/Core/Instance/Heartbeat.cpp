#include "Instance/Heartbeat.h"

#include <nlohmann/json.hpp>

namespace magnolia::instance {
namespace {

using nlohmann::json;

json toJson(const instance_info &Info) {
  return json::array({Info.Name, Info.Incarnation, Info.BootId,
                      Info.FailureDomain, Info.CallerAddress,
                      Info.PeerAddress});
}

instance_info infoFrom(const json &Value) {
  return {Value.at(0).get<std::string>(), Value.at(1).get<uint64_t>(),
          Value.at(2).get<std::string>(), Value.at(3).get<std::string>(),
          Value.at(4).get<std::string>(), Value.at(5).get<std::string>()};
}

heartbeat heartbeatFrom(const json &Value) {
  heartbeat Heartbeat;
  Heartbeat.Info = infoFrom(Value.at(0));
  Heartbeat.Draining = Value.at(1).get<bool>();
  Heartbeat.ConfigurationVersion = Value.at(2).get<uint64_t>();
  Heartbeat.ConfigurationAge = duration(Value.at(3).get<int64_t>());
  for (const json &Each : Value.at(4))
    Heartbeat.Received.push_back(
        {Each.at(0).get<std::string>(), duration(Each.at(1).get<int64_t>())});
  for (const json &Each : Value.at(5))
    Heartbeat.KnownDraining.emplace_back(Each.at(0).get<std::string>(),
                                         Each.at(1).get<uint64_t>());
  return Heartbeat;
}

} // namespace

std::string encode(const heartbeat &Heartbeat) {
  json Received = json::array();
  for (const link::received_heartbeat &Each : Heartbeat.Received)
    Received.push_back(json::array({Each.Instance, Each.Age.count()}));
  json Draining = json::array();
  for (const auto &[Name, Incarnation] : Heartbeat.KnownDraining)
    Draining.push_back(json::array({Name, Incarnation}));
  const json Value =
      json::array({toJson(Heartbeat.Info), Heartbeat.Draining,
                   Heartbeat.ConfigurationVersion,
                   Heartbeat.ConfigurationAge.count(), Received, Draining});
  std::string Bytes;
  json::to_cbor(Value, Bytes);
  return Bytes;
}

absl::StatusOr<heartbeat> decodeHeartbeat(std::string_view Bytes) {
  try {
    return heartbeatFrom(json::from_cbor(Bytes));
  } catch (const json::exception &Error) {
    return absl::InvalidArgumentError(Error.what());
  }
}

} // namespace magnolia::instance
