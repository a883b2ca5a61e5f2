#include "Contract/Diff.h"

#include <absl/strings/str_cat.h>

namespace magnolia::contract {
namespace {

using common::yesNo;
using entries = decltype(common::entry_group::Entries);

entries workspacesOf(const configuration &Configuration) {
  entries Entries;
  for (const workspace &Workspace : Configuration.Manifest.Workspaces)
    Entries[Workspace.Name] = {{"rate", absl::StrCat(Workspace.Rate)},
                               {"burst", absl::StrCat(Workspace.Burst)}};
  return Entries;
}

entries servicesOf(const configuration &Configuration) {
  entries Entries;
  for (const service &Service : Configuration.Manifest.Services)
    Entries[Service.Name] = {{"floor", absl::StrCat(Service.Floor)},
                             {"queue_limit", absl::StrCat(Service.QueueLimit)}};
  return Entries;
}

entries targetsOf(const configuration &Configuration) {
  entries Entries;
  for (const service &Service : Configuration.Manifest.Services)
    for (const target &Target : Service.Targets)
      Entries[absl::StrCat(Service.Name, "/", Target.Name)] = {
          {"address", Target.Address},
          {"failure_domain", Target.FailureDomain},
          {"slots", absl::StrCat(Target.Slots)},
          {"draining", yesNo(Target.Draining)}};
  return Entries;
}

entries routesOf(const configuration &Configuration) {
  entries Entries;
  for (const route &Route : Configuration.Manifest.Routes)
    Entries[Route.Name] = {
        {"path_prefix", Route.PathPrefix},
        {"service", Route.Service},
        {"access", Route.Access == route_access::Open ? "open" : "keyed"},
        {"repeatable", yesNo(Route.Repeatable)},
        {"timeout", absl::StrCat(Route.Timeout.count(), "ms")}};
  return Entries;
}

entries keysOf(const configuration &Configuration) {
  entries Entries;
  for (const key &Key : Configuration.Keys)
    Entries[Key.Id] = {{"workspace", Key.Workspace},
                       {"digest", Key.Digest},
                       {"revoked", yesNo(Key.Revoked)}};
  return Entries;
}

} // namespace

std::vector<common::entry_group> entriesOf(const configuration &Configuration) {
  return {{"workspace", workspacesOf(Configuration)},
          {"service", servicesOf(Configuration)},
          {"target", targetsOf(Configuration)},
          {"route", routesOf(Configuration)},
          {"key", keysOf(Configuration)}};
}

std::vector<common::entry_change> diff(const configuration &Old,
                                       const configuration &New) {
  return common::diffEntries(entriesOf(Old), entriesOf(New));
}

} // namespace magnolia::contract
