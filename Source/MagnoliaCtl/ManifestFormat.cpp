#include "MagnoliaCtl/ManifestFormat.h"

#include <algorithm>

#include <absl/strings/numbers.h>

#include "Common/StringView.h"
#include "Contract/Diff.h"
#include "Contract/ManifestParser.h"

namespace magnolia::ctl {
namespace {

using routing::entry_place;
using routing::read_configuration;

/// Splits a key such as "routes[3].timeout" into table, row and column.
entry_place placeOf(const common::yaml_error &Error) {
  entry_place Place;
  Place.Line = Error.Line;
  const std::string &Key = Error.Key;
  const size_t Open = Key.find('[');
  const size_t Close = Key.find(']');
  size_t Index = 0;
  if (Open == std::string::npos || Close == std::string::npos || Open > Close ||
      !absl::SimpleAtoi(common::toAbsl(std::string_view(Key).substr(
                            Open + 1, Close - Open - 1)),
                        &Index)) {
    Place.Column = Key;
    return Place;
  }
  Place.Table = Key.substr(0, Open);
  Place.Row = Index + 1;
  Place.Column = Key.substr(std::min(Key.size(), Close + 2));
  return Place;
}

/// All fields that a manifest does not have are such that no check objects.
routing::route toRouting(const contract::route &Given) {
  routing::route Route;
  Route.Name = Given.Name;
  Route.Prefix = Given.PathPrefix;
  if (!Route.Prefix.ends_with('/'))
    Route.Prefix += '/';
  Route.Repeatability = Given.Repeatable ? routing::repeatability::Repeatable
                                         : routing::repeatability::AtMostOnce;
  Route.Timeout = Given.Timeout;
  Route.LatencyObjective = Given.Timeout;
  Route.MaxAttempts = 2;
  Route.Parts = {{Given.Service, 1}};
  Route.Public = Given.Access == contract::route_access::Open;
  return Route;
}

std::vector<size_t> rowsFromOne(size_t Count) {
  std::vector<size_t> Rows(Count);
  for (size_t Index = 0; Index < Count; ++Index)
    Rows[Index] = Index + 1;
  return Rows;
}

routing::partial_configuration toRouting(const contract::manifest &Manifest) {
  routing::partial_configuration Read;
  routing::configuration &Into = Read.Configuration;
  // Keys are issued by separate commands.
  Into.RequiresKeys = false;
  for (const contract::route &Route : Manifest.Routes)
    Into.Routes.push_back(toRouting(Route));
  for (const contract::service &Service : Manifest.Services)
    Into.Services.push_back({Service.Name, 0});
  for (const contract::workspace &Workspace : Manifest.Workspaces)
    Into.Workspaces.push_back(
        {Workspace.Name, {}, 0, Workspace.Rate, Workspace.Burst});
  Read.RouteRows = rowsFromOne(Into.Routes.size());
  Read.ServiceRows = rowsFromOne(Into.Services.size());
  Read.WorkspaceRows = rowsFromOne(Into.Workspaces.size());
  return Read;
}

std::vector<common::entry_group> entriesOf(contract::manifest Manifest) {
  contract::configuration Configuration;
  Configuration.Manifest = std::move(Manifest);
  return contract::entriesOf(Configuration);
}

read_configuration readManifest(const std::string &Text,
                                const std::string &File) {
  common::yaml_errors Errors(File);
  contract::parsed_manifest Parsed = contract::parseManifest(Text, Errors);
  read_configuration Read;
  for (const common::yaml_error &Error : Errors.list())
    Read.Findings.push_back({routing::severity::Error, "unreadable",
                             placeOf(Error), Error.Message,
                             "correct it: the manifest is not accepted"});
  Read.Readable.Whole = Errors.list().empty();
  if (!Read.Readable.Whole)
    return Read;
  Read.Readable = toRouting(Parsed.Manifest);
  Read.BasedOn = Parsed.BasedOn;
  Read.Entries = entriesOf(std::move(Parsed.Manifest));
  return Read;
}

absl::StatusOr<read_configuration> readInForce(const connect_hook &Connect,
                                               const std::string &Address) {
  const auto Services = Connect(Address);
  if (!Services.ok())
    return Services.status();
  auto Loaded = loadConfiguration(*Services);
  if (!Loaded.ok())
    return Loaded.status();
  read_configuration Read;
  Read.Version = Loaded->Head.Version;
  Read.Entries = entriesOf(std::move(Loaded->Configuration.Manifest));
  return Read;
}

} // namespace

absl::StatusOr<loaded_configuration>
loadConfiguration(const platform::services &Services) {
  const platform::config_store Store(Services);
  const auto Head = Store.readHead();
  if (!Head.ok())
    return Head.status();
  auto Configuration = Store.load(*Head);
  if (!Configuration.ok())
    return Configuration.status();
  return loaded_configuration{*Head, *std::move(Configuration)};
}

routing::configuration_format manifestFormat(connect_hook Connect) {
  routing::configuration_format Format;
  Format.Name = "manifest";
  Format.Recognizes = [](std::string_view) { return true; };
  Format.Read = readManifest;
  Format.ReadInForce = [Connect =
                            std::move(Connect)](const std::string &Address) {
    return readInForce(Connect, Address);
  };
  Format.Terms = {{"prefix", "path_prefix"}};
  return Format;
}

} // namespace magnolia::ctl
