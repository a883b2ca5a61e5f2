#include "Program/Daemon.h"

#include <iostream>
#include <unistd.h>

#include <CLI/CLI.hpp>

#include "Common/Log.h"
#include "Program/ExitCode.h"
#include "Program/Signals.h"

namespace magnolia::program {
namespace {

using common::log_level;

constexpr std::chrono::milliseconds SettingsCheckPeriod{1000};

struct invocation {
  std::string SettingsFile;
  std::string PortFile;
  bool CheckOnly = false;
};

absl::Status readSettings(const daemon &Daemon, const std::string &File,
                          log_level &Level) {
  const auto Text = common::readFile(File);
  if (!Text.ok())
    return Text.status();
  common::yaml_errors Errors(File);
  common::yaml_section Root = common::parseYaml(*Text, Errors);
  const absl::Status Parsed =
      common::parseLogLevel(Root.text("log_level", "info"), Level);
  if (!Parsed.ok())
    Root.fail("log_level", std::string(Parsed.message()));
  Daemon.Read(Root);
  Root.finish();
  return Errors.status();
}

void reload(const daemon &Daemon, const std::string &File) {
  log_level Level = log_level::Info;
  const absl::Status Status = readSettings(Daemon, File, Level);
  if (!Status.ok()) {
    common::log(log_level::Error, "Program",
                "settings are invalid, keeping the current ones",
                {{"detail", std::string(Status.message())}});
    return;
  }
  common::setLogLevel(Level);
  if (Daemon.Reload)
    Daemon.Reload();
  common::log(log_level::Info, "Program", "settings reloaded");
}

/// The content of \p File; empty if it cannot be read.
std::string readContent(const std::string &File) {
  return common::readFile(File).value_or("");
}

int serve(const daemon &Daemon, const invocation &Invocation) {
  const absl::Status Started = Daemon.Start(Invocation.PortFile);
  if (!Started.ok()) {
    std::cerr << Daemon.Name << ": " << Started.message() << "\n";
    return toInt(exit_code::Failure);
  }
  std::string AppliedContent = readContent(Invocation.SettingsFile);
  signal_event Event = signal_event::None;
  while (Event != signal_event::Stop) {
    Event = awaitSignal(SettingsCheckPeriod);
    const std::string CurrentContent = readContent(Invocation.SettingsFile);
    // The file is also reloaded when it changes without a signal.
    if (Event == signal_event::Reload || CurrentContent != AppliedContent)
      reload(Daemon, Invocation.SettingsFile);
    AppliedContent = CurrentContent;
  }
  common::log(log_level::Info, "Program", "stopping");
  Daemon.Stop();
  common::log(log_level::Info, "Program", "stopped");
  // If the log writer is stuck, a normal exit would destroy objects that it
  // still uses.
  if (!common::stopLogging())
    _exit(toInt(exit_code::Success));
  return toInt(exit_code::Success);
}

} // namespace

int runDaemon(int Argc, char **Argv, const daemon &Daemon) {
  CLI::App App{std::string(Daemon.Description), std::string(Daemon.Name)};
  invocation Invocation;
  App.set_version_flag("--version",
                       std::string(Daemon.Name) + " " MAGNOLIA_VERSION);
  App.add_option("--settings", Invocation.SettingsFile, "YAML settings file")
      ->required()
      ->envname(Daemon.SettingsVariable);
  App.add_option("--port-file", Invocation.PortFile,
                 "file that gets a line NAME PORT for each listening port");
  App.add_flag("--check", Invocation.CheckOnly, "check the settings and exit");
  try {
    App.parse(Argc, Argv);
  } catch (const CLI::ParseError &Error) {
    const int Code = App.exit(Error);
    return Code == 0 ? 0 : toInt(exit_code::Usage);
  }

  log_level Level = log_level::Info;
  const absl::Status Settings =
      readSettings(Daemon, Invocation.SettingsFile, Level);
  if (!Settings.ok()) {
    std::cerr << Settings.message() << "\n";
    return toInt(exit_code::InvalidInput);
  }
  if (Invocation.CheckOnly)
    return toInt(exit_code::Success);
  blockSignals();
  common::startLogging(Daemon.Name, Level);
  return serve(Daemon, Invocation);
}

} // namespace magnolia::program
