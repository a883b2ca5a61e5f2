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
    : Configuration(std::move(Given)) {
  for (const route &Route : Configuration.Routes)
    ByHost[normalizedHost(Route.Host)][Route.Prefix] = &Route;
  for (const workspace &Workspace : Configuration.Workspaces)
    for (const std::string &Key : Workspace.Keys)
      if (!Key.empty())
        ByKey[Key] = &Workspace;
}

const route *route_table::find(std::string_view Host,
                               std::string_view Path) const {
  const auto Prefixes = ByHost.find(normalizedHost(Host));
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

const workspace *route_table::workspaceOf(std::string_view Key) const {
  const auto Found = ByKey.find(toAbsl(Key));
  return Found == ByKey.end() ? nullptr : Found->second;
}

} // namespace magnolia::routing
