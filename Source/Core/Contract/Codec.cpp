#include "Contract/Codec.h"

#include <absl/strings/str_cat.h>
#include <nlohmann/json.hpp>

namespace magnolia::contract {
namespace {

using nlohmann::json;

json encodeTarget(const target &Target) {
  return {{"address", Target.Address},
          {"failure_domain", Target.FailureDomain},
          {"slots", Target.Slots},
          {"draining", Target.Draining}};
}

json encodeService(const service &Service) {
  json Targets = json::object();
  for (const target &Target : Service.Targets)
    Targets[Target.Name] = encodeTarget(Target);
  return {{"floor", Service.Floor},
          {"queue_limit", Service.QueueLimit},
          {"targets", std::move(Targets)}};
}

json encodeRoute(const route &Route) {
  return {{"path_prefix", Route.PathPrefix},
          {"service", Route.Service},
          {"open", Route.Access == route_access::Open},
          {"repeatable", Route.Repeatable},
          {"timeout_ms", Route.Timeout.count()}};
}

target decodeTarget(const std::string &Name, const json &Json) {
  target Target;
  Target.Name = Name;
  Json.at("address").get_to(Target.Address);
  Json.at("failure_domain").get_to(Target.FailureDomain);
  Json.at("slots").get_to(Target.Slots);
  Json.at("draining").get_to(Target.Draining);
  return Target;
}

service decodeService(const std::string &Name, const json &Json) {
  service Service;
  Service.Name = Name;
  Json.at("floor").get_to(Service.Floor);
  Json.at("queue_limit").get_to(Service.QueueLimit);
  for (const auto &[Target, Content] : Json.at("targets").items())
    Service.Targets.push_back(decodeTarget(Target, Content));
  return Service;
}

route decodeRoute(const std::string &Name, const json &Json) {
  route Route;
  Route.Name = Name;
  Json.at("path_prefix").get_to(Route.PathPrefix);
  Json.at("service").get_to(Route.Service);
  Route.Access =
      Json.at("open").get<bool>() ? route_access::Open : route_access::Keyed;
  Json.at("repeatable").get_to(Route.Repeatable);
  Route.Timeout =
      std::chrono::milliseconds(Json.at("timeout_ms").get<int64_t>());
  return Route;
}

configuration decodeJson(const json &Json) {
  configuration Configuration;
  manifest &Manifest = Configuration.Manifest;
  Json.at("version").get_to(Configuration.Version);
  for (const auto &[Name, Content] : Json.at("workspaces").items())
    Manifest.Workspaces.push_back({Name, Content.at("rate").get<double>(),
                                   Content.at("burst").get<double>()});
  for (const auto &[Name, Content] : Json.at("services").items())
    Manifest.Services.push_back(decodeService(Name, Content));
  for (const auto &[Name, Content] : Json.at("routes").items())
    Manifest.Routes.push_back(decodeRoute(Name, Content));
  for (const auto &[Id, Content] : Json.at("keys").items())
    Configuration.Keys.push_back({Id, Content.at("digest").get<std::string>(),
                                  Content.at("workspace").get<std::string>(),
                                  Content.at("revoked").get<bool>()});
  return Configuration;
}

} // namespace

std::string encode(const configuration &Configuration) {
  json Workspaces = json::object();
  for (const workspace &Workspace : Configuration.Manifest.Workspaces)
    Workspaces[Workspace.Name] = {{"rate", Workspace.Rate},
                                  {"burst", Workspace.Burst}};
  json Services = json::object();
  for (const service &Service : Configuration.Manifest.Services)
    Services[Service.Name] = encodeService(Service);
  json Routes = json::object();
  for (const route &Route : Configuration.Manifest.Routes)
    Routes[Route.Name] = encodeRoute(Route);
  json Keys = json::object();
  for (const key &Key : Configuration.Keys)
    Keys[Key.Id] = {{"digest", Key.Digest},
                    {"workspace", Key.Workspace},
                    {"revoked", Key.Revoked}};
  const json Root = {{"version", Configuration.Version},
                     {"workspaces", std::move(Workspaces)},
                     {"services", std::move(Services)},
                     {"routes", std::move(Routes)},
                     {"keys", std::move(Keys)}};
  return Root.dump();
}

absl::StatusOr<configuration> decode(std::string_view Text) {
  try {
    return decodeJson(json::parse(Text));
  } catch (const json::exception &Exception) {
    return absl::DataLossError(
        absl::StrCat("not a configuration: ", Exception.what()));
  }
}

} // namespace magnolia::contract
