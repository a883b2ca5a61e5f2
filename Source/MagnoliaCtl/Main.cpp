#include <cstdint>
#include <functional>
#include <iostream>
#include <map>
#include <string>
#include <thread>
#include <vector>

#include <CLI/CLI.hpp>

#include "Common/Log.h"
#include "Common/YamlReader.h"
#include "MagnoliaCtl/Check.h"
#include "MagnoliaCtl/Commands.h"
#include "MagnoliaCtl/Explain.h"
#include "MagnoliaCtl/ManifestFormat.h"
#include "Net/Platform/PlatformClient.h"
#include "StoredFormat.h"

using namespace magnolia;
using program::exit_code;

namespace {

constexpr int64_t DefaultWaitMs = 19'000;
constexpr size_t DefaultAuditEntries = 20;
constexpr size_t MaxInstanceMemoryMb = 1'000'000;

struct arguments {
  ctl::check_request Check;
  std::string Platform;
  std::string Actor;
  int64_t WaitMs = DefaultWaitMs;
  bool NoWait = false;
  std::string File;
  std::string Workspace;
  std::string KeyId;
  size_t AuditEntries = DefaultAuditEntries;
  std::string RequestId;
  std::vector<std::string> LogFiles;
};

using command = std::function<exit_code(const ctl::command_context &)>;

/// The command chosen on the command line and whether it needs the platform.
struct selection {
  command Command;
  bool NeedsPlatform = true;
};

void addWaitOptions(CLI::App &Command, arguments &Arguments) {
  const std::map<std::string, int64_t> Units{
      {"ms", 1}, {"s", 1000}, {"m", 60'000}};
  Command
      .add_option("--wait", Arguments.WaitMs,
                  "longest wait for all instances to confirm the change (19s)")
      ->transform(
          CLI::AsNumberWithUnit(Units, CLI::AsNumberWithUnit::UNIT_REQUIRED));
  Command.add_flag("--no-wait", Arguments.NoWait,
                   "return as soon as the change is accepted");
}

void addManifestCommands(CLI::App &App, arguments &Arguments,
                         selection &Selection) {
  CLI::App *Validate = App.add_subcommand(
      "validate", "check a manifest without contacting the platform");
  Validate->add_option("manifest", Arguments.File, "YAML file")->required();
  Validate->callback([&] {
    Selection = {[&](const ctl::command_context &Context) {
                   return ctl::validate(Context, Arguments.File);
                 },
                 false};
  });

  CLI::App *Diff =
      App.add_subcommand("diff", "show what applying a manifest would change");
  Diff->add_option("manifest", Arguments.File, "YAML file")->required();
  Diff->callback([&] {
    Selection.Command = [&](const ctl::command_context &Context) {
      return ctl::printDiff(Context, Arguments.File);
    };
  });

  CLI::App *Apply =
      App.add_subcommand("apply", "apply a manifest to the fleet");
  Apply->add_option("manifest", Arguments.File, "YAML file")->required();
  addWaitOptions(*Apply, Arguments);
  Apply->callback([&] {
    Selection.Command = [&](const ctl::command_context &Context) {
      return ctl::apply(Context, Arguments.File);
    };
  });
}

/// Manifests come last: they recognize every file.
std::vector<routing::configuration_format> configurationFormats() {
  return {adapter::storedFormat(),
          ctl::manifestFormat([](const std::string &Address) {
            net::platform_client_options Options;
            Options.Address = Address;
            return net::connectPlatform(Options);
          })};
}

void addCheckCommand(CLI::App &App, ctl::check_request &Request,
                     selection &Selection) {
  CLI::App *Check = App.add_subcommand(
      "check", "show everything that is wrong with a configuration, for this "
               "fleet or for the users' platform, before it is sent");
  Check->add_option("file", Request.File, "manifest, or JSON as in the store")
      ->required();
  auto *Against = Check->add_option("--against", Request.Against,
                                    "file with the version in force");
  Check
      ->add_option("--store", Request.Store,
                   "IP:port of the store with the version in force")
      ->excludes(Against)
      ->check([](const std::string &Address) {
        return common::isAddress(Address) ? "" : "must be IP:port";
      });
  Check->add_flag("--json", Request.Json, "print one JSON object");
  Check->add_flag("--strict", Request.Strict, "treat warnings as errors");
  Check
      ->add_option("--fleet-rate", Request.FleetRate,
                   "requests per second that all targets execute together")
      ->check(CLI::PositiveNumber);
  Check
      ->add_option("--instance-memory", Request.InstanceMemoryMb,
                   "memory of the smallest instance in MB")
      ->check(CLI::Range(size_t{1}, MaxInstanceMemoryMb));
  Check->callback([&] {
    Selection = {[&](const ctl::command_context &Context) {
                   return ctl::check(Context, Request, configurationFormats());
                 },
                 false};
  });
}

void addKeyCommands(CLI::App &App, arguments &Arguments, selection &Selection) {
  CLI::App *Key = App.add_subcommand("key", "issue and revoke callers' keys");
  Key->require_subcommand(1);

  CLI::App *Issue = Key->add_subcommand(
      "issue", "create a key; its secret is printed once and not stored");
  Issue
      ->add_option("workspace", Arguments.Workspace,
                   "workspace that the key belongs to")
      ->required();
  Issue->add_option("--id", Arguments.KeyId,
                    "public id of the key; random if omitted");
  addWaitOptions(*Issue, Arguments);
  Issue->callback([&] {
    Selection.Command = [&](const ctl::command_context &Context) {
      return ctl::issueKey(Context, Arguments.Workspace, Arguments.KeyId);
    };
  });

  CLI::App *Revoke = Key->add_subcommand("revoke", "revoke a key permanently");
  Revoke->add_option("id", Arguments.KeyId, "public id of the key")->required();
  addWaitOptions(*Revoke, Arguments);
  Revoke->callback([&] {
    Selection.Command = [&](const ctl::command_context &Context) {
      return ctl::revokeKey(Context, Arguments.KeyId);
    };
  });
}

void addClaimCommands(CLI::App &App, selection &Selection) {
  App.add_subcommand("settle-claims",
                     "after a restore of the table: the requests whose claims "
                     "were lost are settled, claim idempotency keys again")
      ->callback([&] { Selection.Command = ctl::settleClaims; });
}

void addReportCommands(CLI::App &App, arguments &Arguments,
                       selection &Selection) {
  App.add_subcommand("status", "show the version that each instance serves")
      ->callback([&] { Selection.Command = ctl::printStatus; });
  App.add_subcommand("instances", "show the instances and their addresses")
      ->callback([&] { Selection.Command = ctl::printInstances; });
  CLI::App *Audit =
      App.add_subcommand("audit", "show accepted changes, newest first");
  Audit->add_option("--last", Arguments.AuditEntries,
                    "how many changes to show");
  Audit->callback([&] {
    Selection.Command = [&](const ctl::command_context &Context) {
      return ctl::printAudit(Context, Arguments.AuditEntries);
    };
  });
}

void addExplainCommand(CLI::App &App, arguments &Arguments,
                       selection &Selection) {
  CLI::App *Explain = App.add_subcommand(
      "explain", "show a request's log entries from several instances, "
                 "ordered by time");
  Explain->add_option("id", Arguments.RequestId, "the request's id")
      ->required();
  Explain->add_option("logs", Arguments.LogFiles, "log files")->required();
  Explain->callback([&] {
    Selection = {[&](const ctl::command_context &Context) {
                   return ctl::explain(Arguments.RequestId, Arguments.LogFiles,
                                       *Context.Out, *Context.Error);
                 },
                 false};
  });
}

exit_code run(const arguments &Arguments, const selection &Selection) {
  ctl::command_context Context;
  Context.Actor = Arguments.Actor;
  Context.Out = &std::cout;
  Context.Error = &std::cerr;
  Context.Sleep = [](std::chrono::milliseconds Delay) {
    std::this_thread::sleep_for(Delay);
  };
  if (!Arguments.NoWait)
    Context.Wait = std::chrono::milliseconds(Arguments.WaitMs);
  if (!Selection.NeedsPlatform)
    return Selection.Command(Context);
  net::platform_client_options Options;
  Options.Address = Arguments.Platform;
  auto Services = net::connectPlatform(Options);
  if (!Services.ok()) {
    std::cerr << "--platform: " << Services.status().message() << "\n";
    return exit_code::Usage;
  }
  Context.Services = *std::move(Services);
  return Selection.Command(Context);
}

} // namespace

int main(int Argc, char **Argv) {
  CLI::App App{"Changes and shows the configuration of a magnoliafall fleet.",
               "magnoliactl"};
  arguments Arguments;
  selection Selection;
  App.set_version_flag("--version", "magnoliactl " MAGNOLIA_VERSION);
  App.require_subcommand(1);
  App.fallthrough();
  App.add_option("--platform", Arguments.Platform, "IP:port of the platform")
      ->envname("MAGNOLIA_PLATFORM");
  App.add_option("--actor", Arguments.Actor,
                 "author of the change, recorded in the audit trail")
      ->envname("MAGNOLIA_ACTOR");
  addManifestCommands(App, Arguments, Selection);
  addCheckCommand(App, Arguments.Check, Selection);
  addKeyCommands(App, Arguments, Selection);
  addClaimCommands(App, Selection);
  addReportCommands(App, Arguments, Selection);
  addExplainCommand(App, Arguments, Selection);
  try {
    App.parse(Argc, Argv);
  } catch (const CLI::ParseError &Error) {
    return App.exit(Error) == 0 ? 0 : toInt(exit_code::Usage);
  }
  common::startLogging("magnoliactl", common::log_level::Warning,
                       common::log_stream::StandardError);
  const exit_code Code = run(Arguments, Selection);
  common::stopLogging();
  return toInt(Code);
}
