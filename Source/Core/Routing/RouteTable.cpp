#include "Routing/RouteTable.h"

#include <algorithm>

#include <absl/strings/ascii.h>

#include "Common/StringView.h"

namespace magnolia::routing {

using common::toAbsl;

namespace {

bool sendsTo(const route &Route, const std::string &Service) {
  return std::any_of(Route.Parts.begin(), Route.Parts.end(),
                     [&](const split_part &Part) {
                       return Part.Service == Service && Part.Weight > 0;
                     });
}

} // namespace

std::string normalizedHost(std::string_view Host) {
  return absl::AsciiStrToLower(toAbsl(Host.substr(0, Host.find(':'))));
}

std::shared_ptr<const route_table>
route_table::build(configuration Configuration,
                   const std::shared_ptr<const route_table> &Before) {
  return std::shared_ptr<const route_table>(
      new route_table(std::move(Configuration), Before));
}

route_table::route_table(configuration Read,
                         const std::shared_ptr<const route_table> &Given)
    : Configuration(std::move(Read)), Ranks(Configuration) {
  for (const route &Route : Configuration.Routes)
    add(Route);
  for (const service &Service : Configuration.Services)
    ByService[Service.Name] = &Service;
  for (const workspace &Workspace : Configuration.Workspaces)
    add(Workspace);
  if (closesHosts() && Given)
    Before = Given->closesHosts() ? Given->Before : Given;
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

const route *route_table::closureOf(const std::string &Host) const {
  if (ClosesAllHosts != nullptr)
    return ClosesAllHosts;
  const auto Closed = ClosedHosts.find(Host);
  return Closed == ClosedHosts.end() ? nullptr : Closed->second;
}

bool route_table::wasAllowed(const route &Route, std::string_view Host,
                             std::string_view Path) const {
  const route *Earlier = Before ? Before->find(Host, Path) : nullptr;
  if (Earlier == nullptr || Earlier->Closed || Route.Closed)
    return false;
  const bool HasNewService = std::any_of(
      Route.Parts.begin(), Route.Parts.end(), [&](const split_part &Part) {
        return Part.Weight > 0 && !sendsTo(*Earlier, Part.Service);
      });
  const bool MayRunMore = Route.Repeatability == repeatability::Repeatable &&
                          Earlier->Repeatability == repeatability::AtMostOnce;
  const bool NeedsNoKeyNow = !needsKey(Route) && Before->needsKey(*Earlier);
  return !HasNewService && !MayRunMore && !NeedsNoKeyNow &&
         Route.HomeRegions == Earlier->HomeRegions;
}

const route *route_table::find(std::string_view Host,
                               std::string_view Path) const {
  const std::string Name = normalizedHost(Host);
  const route *Closure = closureOf(Name);
  const route *Listed = findListed(Name, Path);
  if (Closure == nullptr)
    return Listed;
  return Listed != nullptr && wasAllowed(*Listed, Host, Path) ? Listed
                                                              : Closure;
}

const route *route_table::findListed(const std::string &Host,
                                     std::string_view Path) const {
  const auto Prefixes = ByHost.find(Host);
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
