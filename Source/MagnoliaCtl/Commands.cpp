#include "MagnoliaCtl/Commands.h"

#include <ostream>

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>

#include "Common/Digest.h"
#include "Common/YamlReader.h"
#include "Contract/Diff.h"
#include "Contract/Edit.h"
#include "Contract/ManifestParser.h"
#include "MagnoliaCtl/Confirmation.h"
#include "MagnoliaCtl/ManifestFormat.h"
#include "MagnoliaCtl/Output.h"
#include "Request/LostClaims.h"

namespace magnolia::ctl {
namespace {

using contract::configuration;
using contract::parsed_manifest;
using platform::change_request;
using platform::config_store;
using program::exit_code;

constexpr size_t SecretBytes = 32;
constexpr size_t KeyIdBytes = 6;

absl::StatusOr<parsed_manifest> readManifest(const std::string &File) {
  const auto Text = common::readFile(File);
  if (!Text.ok())
    return Text.status();
  return contract::parseManifest(*Text, File);
}

absl::Status requireActor(const command_context &Context) {
  if (Context.Actor.empty())
    return absl::InvalidArgumentError(
        "--actor: required for a change; the audit trail records it");
  return absl::OkStatus();
}

/// Commits \p Request, prints the outcome and returns the accepted version.
absl::StatusOr<uint64_t> commit(const command_context &Context,
                                change_request Request) {
  if (absl::Status Status = requireActor(Context); !Status.ok())
    return Status;
  Request.Actor = Context.Actor;
  config_store Store(Context.Services, Context.StoreHooks);
  const auto Accepted = Store.change(Request);
  if (!Accepted.ok())
    return Accepted.status();
  *Context.Out << (Accepted->Changed ? "accepted" : "unchanged") << " version "
               << Accepted->Version << " change " << Accepted->ChangeId << "\n"
               << std::flush;
  return Accepted->Version;
}

std::string describeState(const instance_view &Instance, uint64_t Version) {
  if (!Instance.HasRow)
    return "never reported";
  if (!Instance.Fresh)
    return "silent";
  if (Instance.Row.Version >= Version)
    return "current";
  return absl::StrCat("behind by ", Version - Instance.Row.Version);
}

std::string describeListing(const instance_view &Instance) {
  if (!Instance.Listed)
    return "unlisted";
  return Instance.Draining ? "leaving" : "live";
}

} // namespace

exit_code validate(const command_context &Context, const std::string &File) {
  const auto Parsed = readManifest(File);
  if (!Parsed.ok())
    return fail(Context, Parsed.status());
  const contract::manifest &Manifest = Parsed->Manifest;
  size_t Targets = 0;
  for (const contract::service &Service : Manifest.Services)
    Targets += Service.Targets.size();
  *Context.Out << File << ": valid, " << Manifest.Workspaces.size()
               << " workspaces, " << Manifest.Services.size() << " services, "
               << Targets << " targets, " << Manifest.Routes.size()
               << " routes\n";
  return exit_code::Success;
}

exit_code printDiff(const command_context &Context, const std::string &File) {
  auto Parsed = readManifest(File);
  if (!Parsed.ok())
    return fail(Context, Parsed.status());
  const auto Current = loadConfiguration(Context.Services);
  if (!Current.ok())
    return fail(Context, Current.status());
  configuration New = Current->Configuration;
  contract::replaceManifest(New, std::move(Parsed->Manifest));
  const auto Changes = contract::diff(Current->Configuration, New);
  *Context.Out << "against version " << Current->Head.Version << ": "
               << Changes.size() << " changes\n";
  for (const common::entry_change &Change : Changes)
    *Context.Out << common::toText(Change) << "\n";
  return exit_code::Success;
}

exit_code apply(const command_context &Context, const std::string &File) {
  const auto Parsed = readManifest(File);
  if (!Parsed.ok())
    return fail(Context, Parsed.status());
  change_request Request;
  Request.Action = "apply";
  Request.BasedOn = Parsed->BasedOn;
  Request.Edit = [&](configuration &Configuration) {
    contract::replaceManifest(Configuration, Parsed->Manifest);
    return absl::OkStatus();
  };
  const auto Version = commit(Context, std::move(Request));
  if (!Version.ok())
    return fail(Context, Version.status());
  return awaitConfirmations(Context, *Version);
}

exit_code issueKey(const command_context &Context, const std::string &Workspace,
                   std::string Id) {
  if (Id.empty())
    Id = common::randomHex(KeyIdBytes);
  const std::string Secret = common::randomHex(SecretBytes);
  const contract::key Key{Id, common::sha256Hex(Secret), Workspace, false};
  change_request Request;
  Request.Action = absl::StrCat("key issue ", Id);
  Request.RetryOnConflict = true;
  Request.Edit = [&](configuration &Configuration) {
    return contract::issueKey(Configuration, Key);
  };
  const auto Version = commit(Context, std::move(Request));
  if (!Version.ok())
    return fail(Context, Version.status());
  *Context.Out << "key " << Id << " workspace " << Workspace << " secret "
               << Secret << "\n"
               << std::flush;
  return awaitConfirmations(Context, *Version);
}

exit_code revokeKey(const command_context &Context, const std::string &Id) {
  change_request Request;
  Request.Action = absl::StrCat("key revoke ", Id);
  Request.RetryOnConflict = true;
  Request.Edit = [&](configuration &Configuration) {
    const absl::Status Status = contract::revokeKey(Configuration, Id);
    // Revoking a key again is not an error: it changes nothing.
    return absl::IsAlreadyExists(Status) ? absl::OkStatus() : Status;
  };
  const auto Version = commit(Context, std::move(Request));
  if (!Version.ok())
    return fail(Context, Version.status());
  return awaitConfirmations(Context, *Version);
}

exit_code settleClaims(const command_context &Context) {
  if (absl::Status Status = requireActor(Context); !Status.ok())
    return fail(Context, Status);
  const absl::Status Status = request::settleLostClaims(
      Context.Services.Table, Context.Actor, Context.Now());
  if (!Status.ok())
    return fail(Context, Status);
  *Context.Out << "keys are claimed again\n";
  return exit_code::Success;
}

exit_code printStatus(const command_context &Context) {
  const config_store Store(Context.Services);
  const auto Head = Store.readHead();
  if (!Head.ok())
    return fail(Context, Head.status());
  const auto Instances = readInstances(Context);
  if (!Instances.ok())
    return fail(Context, Instances.status());
  if (Head->Version == 0)
    *Context.Out << "no version has been accepted yet\n";
  else
    *Context.Out << "version " << Head->Version << " change " << Head->ChangeId
                 << " by " << Head->Actor << "\n";
  *Context.Out << absl::StreamFormat("%-24s %8s  %-16s %-9s %s\n", "instance",
                                     "version", "state", "listed", "updated");
  for (const instance_view &Instance : *Instances)
    *Context.Out << absl::StreamFormat(
        "%-24s %8u  %-16s %-9s %s\n", Instance.Name, Instance.Row.Version,
        describeState(Instance, Head->Version), describeListing(Instance),
        Instance.HasRow ? formatTime(Instance.Row.Updated) : "-");
  return exit_code::Success;
}

exit_code printAudit(const command_context &Context, size_t Limit) {
  const config_store Store(Context.Services);
  const auto Entries = Store.readAudit(Limit);
  if (!Entries.ok())
    return fail(Context, Entries.status());
  for (const platform::audit_entry &Entry : *Entries) {
    *Context.Out << formatTime(Entry.When) << " version " << Entry.Version
                 << " change " << Entry.ChangeId << " by " << Entry.Actor
                 << ": " << Entry.Action << "\n";
    for (const std::string &Line : Entry.Changes)
      *Context.Out << "    " << Line << "\n";
  }
  return exit_code::Success;
}

exit_code printInstances(const command_context &Context) {
  const auto Instances = readInstances(Context);
  if (!Instances.ok())
    return fail(Context, Instances.status());
  *Context.Out << absl::StreamFormat("%-24s %-9s %-22s %-22s %s\n", "instance",
                                     "listed", "callers", "peers",
                                     "failure domain");
  for (const instance_view &Instance : *Instances)
    *Context.Out << absl::StreamFormat(
        "%-24s %-9s %-22s %-22s %s\n", Instance.Name, describeListing(Instance),
        Instance.Row.CallerAddress, Instance.Row.PeerAddress,
        Instance.Row.FailureDomain);
  return exit_code::Success;
}

} // namespace magnolia::ctl
