#include "Routing/RouteTable.h"

#include <absl/strings/ascii.h>

#include "Common/StringView.h"

namespace magnolia::routing {

using common::toAbsl;

std::string normalizedHost(std::string_view Host) {
  return absl::AsciiStrToLower(toAbsl(Host.substr(0, Host.find(':'))));
}

std::shared_ptr<const route_table>
route_table::build(configuration Configuration) {
  return std::shared_ptr<const route_table>(
      new route_table(std::move(Configuration)));
}

route_table::route_table(configuration Given)
    : Configuration(std::move(Given)), Ranks(Configuration) {
  for (const route &Route : Configuration.Routes)
    add(Route);
  for (const service &Service : Configuration.Services)
    ByService[Service.Name] = &Service;
  for (const workspace &Workspace : Configuration.Workspaces)
    add(Workspace);
}

void route_table::add(const route &Route) {
  if (Route.Closed && Route.Host.empty()) {
    ClosesAllHosts = &Route;
    return;
  }
  const std::string Host = normalizedHost(Route.Host);
  if (Route.Closed && Route.Prefix.empty()) {
    ClosedHosts[Host] = &Route;
    return;
  }
  const route *&Place = ByHost[Host][Route.Prefix];
  // Of two routes for the same requests a closed one holds.
  if (Place == nullptr || !Place->Closed)
    Place = &Route;
}

void route_table::add(const workspace &Workspace) {
  MayMissKeys |= !Workspace.KeysKnown;
  for (const std::string &Key : Workspace.Keys) {
    if (Key.empty())
      continue;
    const workspace *&Holder = ByKey[Key];
    if (Holder == nullptr || !Holder->Closed)
      Holder = &Workspace;
  }
}

const route *route_table::find(std::string_view Host,
                               std::string_view Path) const {
  if (ClosesAllHosts != nullptr)
    return ClosesAllHosts;
  const std::string Name = normalizedHost(Host);
  if (const auto Closed = ClosedHosts.find(Name); Closed != ClosedHosts.end())
    return Closed->second;
  const auto Prefixes = ByHost.find(Name);
  if (Prefixes == ByHost.end())
    return nullptr;
  size_t Slash = Path.rfind('/');
  while (Slash != std::string_view::npos) {
    const auto Found = Prefixes->second.find(toAbsl(Path.substr(0, Slash + 1)));
    if (Found != Prefixes->second.end())
      return Found->second;
    if (Slash == 0)
      break;
    Slash = Path.rfind('/', Slash - 1);
  }
  return nullptr;
}

std::vector<std::vector<std::string>>
route_table::homesOf(std::string_view Host) const {
  std::vector<std::vector<std::string>> Homes;
  const auto Prefixes = ByHost.find(normalizedHost(Host));
  if (Prefixes == ByHost.end())
    return Homes;
  for (const auto &[Prefix, Route] : Prefixes->second)
    if (!Route->HomeRegions.empty())
      Homes.push_back(Route->HomeRegions);
  return Homes;
}

const workspace *route_table::workspaceOf(std::string_view Key) const {
  const auto Found = ByKey.find(toAbsl(Key));
  return Found == ByKey.end() ? nullptr : Found->second;
}

const service *route_table::serviceOf(std::string_view Name) const {
  const auto Found = ByService.find(toAbsl(Name));
  return Found == ByService.end() ? nullptr : Found->second;
}

} // namespace magnolia::routing
