#include "Contract/Snapshot.h"

#include "Common/StringView.h"

namespace magnolia::contract {
namespace {

using common::toAbsl;

template <typename Item>
const Item *find(const absl::flat_hash_map<std::string, size_t> &Index,
                 const std::vector<Item> &Items, std::string_view Name) {
  const auto Entry = Index.find(toAbsl(Name));
  return Entry == Index.end() ? nullptr : &Items[Entry->second];
}

/// Whether a target could resolve \p Path to a path with another prefix than
/// its literal one, because of dot segments (plain or encoded), empty segments,
/// backslashes, encoded slashes or encoded null bytes.
bool isAmbiguous(std::string_view Path) {
  constexpr std::string_view Patterns[] = {
      "//", "..", "/./", "%2e", "%2E", "\\", "%5c", "%5C", "%2f", "%2F", "%00"};
  for (const std::string_view Pattern : Patterns)
    if (Path.find(Pattern) != std::string_view::npos)
      return true;
  return Path.ends_with("/.");
}

} // namespace

snapshot::snapshot(configuration Configuration)
    : Content(std::move(Configuration)) {
  const manifest &Manifest = Content.Manifest;
  RoutesByPrefix.reserve(Manifest.Routes.size());
  for (size_t Index = 0; Index < Manifest.Routes.size(); ++Index)
    RoutesByPrefix.emplace(Manifest.Routes[Index].PathPrefix, Index);
  ServicesByName.reserve(Manifest.Services.size());
  for (size_t Index = 0; Index < Manifest.Services.size(); ++Index)
    ServicesByName.emplace(Manifest.Services[Index].Name, Index);
  WorkspacesByName.reserve(Manifest.Workspaces.size());
  for (size_t Index = 0; Index < Manifest.Workspaces.size(); ++Index)
    WorkspacesByName.emplace(Manifest.Workspaces[Index].Name, Index);
  KeysByDigest.reserve(Content.Keys.size());
  for (size_t Index = 0; Index < Content.Keys.size(); ++Index)
    if (!Content.Keys[Index].Revoked)
      KeysByDigest.emplace(Content.Keys[Index].Digest, Index);
}

const route *snapshot::findRoute(std::string_view Path) const {
  Path = Path.substr(0, Path.find_first_of("?#"));
  if (!Path.starts_with('/') || isAmbiguous(Path))
    return nullptr;
  while (true) {
    if (const route *Route =
            find(RoutesByPrefix, Content.Manifest.Routes, Path))
      return Route;
    if (Path == "/")
      return nullptr;
    const size_t Slash = Path.rfind('/');
    Path = Path.substr(0, Slash == 0 ? 1 : Slash);
  }
}

const service *snapshot::findService(std::string_view Name) const {
  return find(ServicesByName, Content.Manifest.Services, Name);
}

const workspace *snapshot::findWorkspace(std::string_view Name) const {
  return find(WorkspacesByName, Content.Manifest.Workspaces, Name);
}

const key *snapshot::findKey(std::string_view Digest) const {
  return find(KeysByDigest, Content.Keys, Digest);
}

} // namespace magnolia::contract
