#include "Contract/Diff.h"

#include <map>

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>

#include "Common/StringView.h"

namespace magnolia::contract {
namespace {

/// Maps field names to printed values.
using fields = std::map<std::string, std::string>;

/// Maps entry names to their fields.
using entries = std::map<std::string, fields>;

std::string yesNo(bool Flag) { return Flag ? "yes" : "no"; }

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

std::string joinFields(const fields &Fields) {
  return absl::StrJoin(Fields, ", ", absl::PairFormatter(" "));
}

std::string joinChangedFields(const fields &Old, const fields &New) {
  std::vector<std::string> Parts;
  for (const auto &[Field, Value] : New)
    if (const std::string &Before = Old.at(Field); Before != Value)
      Parts.push_back(absl::StrCat(Field, " ", Before, " -> ", Value));
  return absl::StrJoin(Parts, ", ");
}

void compare(entity Entity, const entries &Old, const entries &New,
             std::vector<change> &Changes) {
  std::map<std::string, change> ByName;
  for (const auto &[Name, Fields] : Old)
    if (!New.contains(Name))
      ByName[Name] = {Entity, change_kind::Removed, Name, joinFields(Fields)};
  for (const auto &[Name, Fields] : New) {
    const auto Before = Old.find(Name);
    if (Before == Old.end())
      ByName[Name] = {Entity, change_kind::Added, Name, joinFields(Fields)};
    else if (Before->second != Fields)
      ByName[Name] = {Entity, change_kind::Changed, Name,
                      joinChangedFields(Before->second, Fields)};
  }
  for (auto &[Name, Change] : ByName)
    Changes.push_back(std::move(Change));
}

std::string_view nameOf(entity Entity) {
  switch (Entity) {
  case entity::Workspace:
    return "workspace";
  case entity::Service:
    return "service";
  case entity::Target:
    return "target";
  case entity::Route:
    return "route";
  case entity::Key:
    return "key";
  }
  return "";
}

std::string_view symbolOf(change_kind Kind) {
  switch (Kind) {
  case change_kind::Added:
    return "+";
  case change_kind::Removed:
    return "-";
  case change_kind::Changed:
    return "~";
  }
  return "";
}

} // namespace

std::vector<change> diff(const configuration &Old, const configuration &New) {
  std::vector<change> Changes;
  compare(entity::Workspace, workspacesOf(Old), workspacesOf(New), Changes);
  compare(entity::Service, servicesOf(Old), servicesOf(New), Changes);
  compare(entity::Target, targetsOf(Old), targetsOf(New), Changes);
  compare(entity::Route, routesOf(Old), routesOf(New), Changes);
  compare(entity::Key, keysOf(Old), keysOf(New), Changes);
  return Changes;
}

std::string toText(const change &Change) {
  return absl::StrCat(common::toAbsl(symbolOf(Change.Kind)), " ",
                      common::toAbsl(nameOf(Change.Entity)), " ", Change.Name,
                      ": ", Change.Detail);
}

} // namespace magnolia::contract
