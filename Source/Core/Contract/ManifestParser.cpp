#include "Contract/ManifestParser.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <set>

#include <absl/strings/ascii.h>
#include <absl/strings/str_cat.h>

#include "Common/YamlReader.h"

namespace magnolia::contract {
namespace {

using common::yaml_errors;
using common::yaml_section;
using std::chrono::milliseconds;

constexpr size_t MaxNameLength = 64;
constexpr int64_t MaxSlots = 100'000;
constexpr int64_t MaxQueueLimit = 1'000'000;
constexpr milliseconds DefaultTimeout{5000};
constexpr milliseconds MaxTimeout = std::chrono::hours(1);

using name_set = std::set<std::string, std::less<>>;

std::string readName(yaml_section &Section, name_set &UsedNames) {
  std::string Name = Section.text("name");
  if (Name.empty())
    return Name;
  if (!isName(Name))
    Section.fail("name", absl::StrCat("'", Name, "' is not a valid name"));
  else if (!UsedNames.insert(Name).second)
    Section.fail("name", absl::StrCat("'", Name, "' is used more than once"));
  return Name;
}

int64_t readInRange(yaml_section &Section, std::string_view Key,
                    int64_t Default, int64_t Min, int64_t Max) {
  const int64_t Value = Section.integer(Key, Default);
  if (Value >= Min && Value <= Max)
    return Value;
  Section.fail(Key, absl::StrCat("must be from ", Min, " to ", Max));
  return Default;
}

workspace readWorkspace(yaml_section &Section, name_set &UsedNames) {
  workspace Workspace;
  Workspace.Name = readName(Section, UsedNames);
  Workspace.Rate = Section.number("rate");
  if (Section.has("rate") &&
      !(Workspace.Rate > 0 && std::isfinite(Workspace.Rate)))
    Section.fail("rate", "must be above zero requests per second");
  Workspace.Burst = Section.number("burst");
  if (Section.has("burst") &&
      !(Workspace.Burst >= 1 && std::isfinite(Workspace.Burst)))
    Section.fail("burst", "must be at least one request");
  Section.finish();
  return Workspace;
}

target readTarget(yaml_section &Section, name_set &UsedNames,
                  name_set &Addresses) {
  target Target;
  Target.Name = readName(Section, UsedNames);
  Target.Address = Section.address("address");
  if (Target.Address.ends_with(":0"))
    Section.fail("address", "must have a port");
  else if (!Target.Address.empty() && !Addresses.insert(Target.Address).second)
    Section.fail("address",
                 absl::StrCat("'", Target.Address,
                              "' is already used by another target"));
  Target.FailureDomain = Section.text("failure_domain");
  Target.Slots =
      static_cast<uint32_t>(readInRange(Section, "slots", 1, 1, MaxSlots));
  Target.Draining = Section.boolean("draining", false);
  Section.finish();
  return Target;
}

service readService(yaml_section &Section, name_set &UsedNames,
                    name_set &Addresses) {
  service Service;
  Service.Name = readName(Section, UsedNames);
  Service.Floor = Section.number("floor", Service.Floor);
  if (!(Service.Floor > 0 && Service.Floor <= 1))
    Section.fail("floor", "must be above 0 and at most 1");
  Service.QueueLimit = static_cast<uint32_t>(readInRange(
      Section, "queue_limit", Service.QueueLimit, 0, MaxQueueLimit));
  name_set Targets;
  for (yaml_section &Target : Section.sections("targets"))
    Service.Targets.push_back(readTarget(Target, Targets, Addresses));
  if (Service.Targets.empty())
    Section.fail("targets", "must list at least one target");
  Section.finish();
  return Service;
}

/// Whether \p Prefix is "/", or an absolute path of letters, digits and "/-_.~"
/// without a final slash, empty segments, segments that start with a dot, and
/// "..".
bool isPlainPath(std::string_view Prefix) {
  if (Prefix == "/")
    return true;
  if (!Prefix.starts_with('/') || Prefix.ends_with('/'))
    return false;
  const auto IsPlain = [](unsigned char Character) {
    return absl::ascii_isalnum(Character) ||
           std::string_view("/-_.~").find(static_cast<char>(Character)) !=
               std::string_view::npos;
  };
  return std::all_of(Prefix.begin(), Prefix.end(), IsPlain) &&
         Prefix.find("//") == std::string_view::npos &&
         Prefix.find("/.") == std::string_view::npos &&
         Prefix.find("..") == std::string_view::npos;
}

void readPrefix(yaml_section &Section, route &Route, name_set &Prefixes) {
  Route.PathPrefix = Section.text("path_prefix");
  if (Route.PathPrefix.empty())
    return;
  if (!isPlainPath(Route.PathPrefix))
    Section.fail("path_prefix",
                 absl::StrCat("'", Route.PathPrefix, "' is not a plain path"));
  else if (!Prefixes.insert(Route.PathPrefix).second)
    Section.fail("path_prefix",
                 absl::StrCat("'", Route.PathPrefix,
                              "' is already used by another route"));
}

route_access readAccess(yaml_section &Section) {
  const std::string Access = Section.text("access", "keyed");
  if (Access != "keyed" && Access != "open")
    Section.fail("access", "must be keyed or open");
  return Access == "open" ? route_access::Open : route_access::Keyed;
}

milliseconds readTimeout(yaml_section &Section) {
  const auto Timeout = std::chrono::duration_cast<milliseconds>(
      Section.duration("timeout", DefaultTimeout));
  if (Timeout < milliseconds(1) || Timeout > MaxTimeout)
    Section.fail("timeout", "must be from 1ms to 1h");
  return Timeout;
}

route readRoute(yaml_section &Section, name_set &UsedNames, name_set &Prefixes,
                const name_set &Services) {
  route Route;
  Route.Name = readName(Section, UsedNames);
  readPrefix(Section, Route, Prefixes);
  Route.Service = Section.text("service");
  if (!Route.Service.empty() && !Services.contains(Route.Service))
    Section.fail("service",
                 absl::StrCat("there is no service '", Route.Service, "'"));
  Route.Access = readAccess(Section);
  Route.Repeatable = Section.boolean("repeatable", false);
  Route.Timeout = readTimeout(Section);
  Section.finish();
  return Route;
}

std::optional<uint64_t> readBasedOn(yaml_section &Root) {
  if (!Root.has("based_on"))
    return std::nullopt;
  return static_cast<uint64_t>(
      readInRange(Root, "based_on", 0, 0, std::numeric_limits<int64_t>::max()));
}

} // namespace

bool isName(std::string_view Name) {
  if (Name.empty() || Name.size() > MaxNameLength)
    return false;
  const auto IsNameCharacter = [](unsigned char Character) {
    return absl::ascii_isalnum(Character) || Character == '.' ||
           Character == '_' || Character == '-';
  };
  return absl::ascii_isalnum(static_cast<unsigned char>(Name.front())) &&
         std::all_of(Name.begin(), Name.end(), IsNameCharacter);
}

parsed_manifest parseManifest(std::string_view Text, yaml_errors &Errors) {
  parsed_manifest Parsed;
  manifest &Manifest = Parsed.Manifest;
  name_set Workspaces;
  name_set Services;
  name_set Addresses;
  name_set Routes;
  name_set Prefixes;
  try {
    yaml_section Root = common::parseYaml(Text, Errors);
    Parsed.BasedOn = readBasedOn(Root);
    for (yaml_section &Section : Root.sections("workspaces"))
      Manifest.Workspaces.push_back(readWorkspace(Section, Workspaces));
    for (yaml_section &Section : Root.sections("services"))
      Manifest.Services.push_back(readService(Section, Services, Addresses));
    for (yaml_section &Section : Root.sections("routes"))
      Manifest.Routes.push_back(readRoute(Section, Routes, Prefixes, Services));
    Root.finish();
  } catch (const std::exception &Exception) {
    Errors.add(0, "", Exception.what());
  }
  return Parsed;
}

absl::StatusOr<parsed_manifest> parseManifest(std::string_view Text,
                                              const std::string &File) {
  yaml_errors Errors(File);
  parsed_manifest Parsed = parseManifest(Text, Errors);
  if (const absl::Status Status = Errors.status(); !Status.ok())
    return Status;
  return Parsed;
}

} // namespace magnolia::contract
