#include "Routing/ConfigurationEntries.h"

#include <algorithm>

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>
#include <absl/time/time.h>

#include "Common/Digest.h"
#include "Common/Number.h"

namespace magnolia::routing {
namespace {

using common::entry_group;
using common::printNumber;
using common::yesNo;

constexpr size_t DigestDigits = 8;

std::string print(duration Duration) {
  return absl::FormatDuration(absl::FromChrono(Duration));
}

std::string printParts(const std::vector<split_part> &Parts) {
  return absl::StrJoin(
      Parts, " + ", [](std::string *Text, const split_part &Part) {
        absl::StrAppend(Text, Part.Service, " x ", printNumber(Part.Weight));
      });
}

std::string printKeys(std::vector<std::string> Keys) {
  if (Keys.empty())
    return "none";
  std::sort(Keys.begin(), Keys.end());
  const std::string Digest = common::sha256Hex(absl::StrJoin(Keys, "\n"));
  return absl::StrCat(Keys.size(), " (digest ", Digest.substr(0, DigestDigits),
                      ")");
}

std::string printRegions(std::vector<std::string> Regions) {
  if (Regions.empty())
    return "all";
  std::sort(Regions.begin(), Regions.end());
  return absl::StrJoin(Regions, ", ");
}

entry_group routesOf(const configuration &Configuration) {
  entry_group Group{"route", {}};
  for (const route &Route : Configuration.Routes)
    Group.Entries[Route.Name] = {
        {"host", Route.Host},
        {"prefix", Route.Prefix},
        {"repeatable", yesNo(Route.Repeatability == repeatability::Repeatable)},
        {"timeout", print(Route.Timeout)},
        {"latency objective", print(Route.LatencyObjective)},
        {"rank", printNumber(Route.Priority)},
        {"service", printParts(Route.Parts)},
        {"attempts", absl::StrCat(Route.MaxAttempts)},
        {"public", yesNo(Route.Public)},
        {"home regions", printRegions(Route.HomeRegions)}};
  return Group;
}

entry_group servicesOf(const configuration &Configuration) {
  entry_group Group{"service", {}};
  for (const service &Service : Configuration.Services)
    Group.Entries[Service.Name] = {
        {"connections of a target", absl::StrCat(Service.MaxConnections)},
        {"warm-up", print(Service.Warmup)},
        {"requests per second while cold",
         printNumber(Service.WarmupPerSecond)}};
  return Group;
}

entry_group workspacesOf(const configuration &Configuration) {
  entry_group Group{"workspace", {}};
  for (const workspace &Workspace : Configuration.Workspaces)
    Group.Entries[Workspace.Name] = {
        {"rate", printNumber(Workspace.RatePerSecond)},
        {"burst", printNumber(Workspace.Burst)},
        {"rank", Workspace.Priority ? printNumber(*Workspace.Priority)
                                    : std::string("the route's")},
        {"keys", printKeys(Workspace.Keys)},
        {"home regions", printRegions(Workspace.HomeRegions)}};
  return Group;
}

entry_group limitsOf(const configuration &Configuration) {
  const caller_limits &Limits = Configuration.Limits;
  entry_group Group{"limits", {}};
  Group.Entries["of callers"] = {
      {"head bytes", absl::StrCat(Limits.HeadBytes)},
      {"body bytes", absl::StrCat(Limits.BodyBytes)},
      {"head timeout", print(Limits.HeadTimeout)},
      {"idle timeout", print(Limits.IdleTimeout)},
      {"keys required", yesNo(Configuration.RequiresKeys)}};
  return Group;
}

} // namespace

std::vector<entry_group> entriesOf(const configuration &Configuration) {
  return {workspacesOf(Configuration), servicesOf(Configuration),
          routesOf(Configuration), limitsOf(Configuration)};
}

} // namespace magnolia::routing
