#pragma once

#include <functional>
#include <string>
#include <string_view>

#include <absl/status/status.h>

#include "Common/YamlReader.h"

/// Common parts of all long-running programs: command line, settings, logging,
/// signals and exit codes.
namespace magnolia::program {

/// The hooks of one program, declared in the order of their calls.
struct daemon {
  std::string_view Name;
  std::string_view Description;
  /// Environment variable that may name the settings file; empty for none.
  std::string SettingsVariable;

  /// Reads all settings from \p Root; errors are added to the reader.
  std::function<void(common::yaml_section &Root)> Read;

  /// Starts serving; \p PortFile is empty unless the command line names one.
  std::function<absl::Status(const std::string &PortFile)> Start;

  /// Called after the settings file was reloaded without errors, on SIGHUP or
  /// when its content has changed.
  std::function<void()> Reload;

  /// Called on SIGTERM or SIGINT; returns when all requests are finished.
  std::function<void()> Stop;
};

/// Runs \p Daemon until it stops and returns the exit code of the process.
/// Reads the setting `log_level` itself.
int runDaemon(int Argc, char **Argv, const daemon &Daemon);

} // namespace magnolia::program
