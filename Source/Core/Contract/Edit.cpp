#include "Contract/Edit.h"

#include <algorithm>
#include <set>
#include <string>

#include <absl/strings/str_cat.h>

#include "Common/StringView.h"
#include "Contract/ManifestParser.h"

namespace magnolia::contract {
namespace {

bool hasWorkspace(const manifest &Manifest, std::string_view Name) {
  return std::any_of(
      Manifest.Workspaces.begin(), Manifest.Workspaces.end(),
      [&](const workspace &Workspace) { return Workspace.Name == Name; });
}

} // namespace

void replaceManifest(configuration &Configuration, manifest Manifest) {
  std::set<std::string_view> Workspaces;
  for (const workspace &Workspace : Manifest.Workspaces)
    Workspaces.insert(Workspace.Name);
  for (key &Key : Configuration.Keys)
    if (!Workspaces.contains(Key.Workspace))
      Key.Revoked = true;
  Configuration.Manifest = std::move(Manifest);
}

absl::Status issueKey(configuration &Configuration, key Key) {
  if (!isName(Key.Id))
    return absl::InvalidArgumentError(
        absl::StrCat("'", Key.Id, "' is not a valid name"));
  if (!hasWorkspace(Configuration.Manifest, Key.Workspace))
    return absl::NotFoundError(
        absl::StrCat("there is no workspace '", Key.Workspace, "'"));
  for (const key &Other : Configuration.Keys)
    if (Other.Id == Key.Id || Other.Digest == Key.Digest)
      return absl::AlreadyExistsError(
          absl::StrCat("key '", Other.Id, "' was issued before"));
  Configuration.Keys.push_back(std::move(Key));
  return absl::OkStatus();
}

absl::Status revokeKey(configuration &Configuration, std::string_view Id) {
  for (key &Key : Configuration.Keys) {
    if (Key.Id != Id)
      continue;
    if (Key.Revoked)
      return absl::AlreadyExistsError(
          absl::StrCat("key '", Key.Id, "' is already revoked"));
    Key.Revoked = true;
    return absl::OkStatus();
  }
  return absl::NotFoundError(
      absl::StrCat("there is no key '", common::toAbsl(Id), "'"));
}

} // namespace magnolia::contract
