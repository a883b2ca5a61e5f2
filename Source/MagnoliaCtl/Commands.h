#pragma once

#include <chrono>
#include <functional>
#include <iosfwd>
#include <optional>
#include <string>

#include "Common/Time.h"
#include "Platform/ConfigStore.h"
#include "Platform/Services.h"
#include "Program/ExitCode.h"

/// The commands of magnoliactl, each a function of the platform's services.
namespace magnolia::ctl {

/// What every command works with.
struct command_context {
  platform::services Services;
  /// Who asks for a change, as the audit trail will name them.
  std::string Actor;
  std::ostream *Out = nullptr;
  std::ostream *Error = nullptr;
  /// How long a change waits until it is in force everywhere; absent: not.
  std::optional<std::chrono::milliseconds> Wait;
  platform::config_store_hooks StoreHooks;
  std::function<common::wall_time()> Now = common::wallNow;
  std::function<void(std::chrono::milliseconds)> Sleep;
};

/// Checks the manifest in \p File and prints its sizes.
program::exit_code validate(const command_context &Context,
                            const std::string &File);

/// Prints what applying \p File would change.
program::exit_code printDiff(const command_context &Context,
                             const std::string &File);

/// Commits the manifest in \p File.
program::exit_code apply(const command_context &Context,
                         const std::string &File);

/// Creates a key of \p Workspace named \p Id, or by the system where empty, and
/// prints its secret, which is kept nowhere.
program::exit_code issueKey(const command_context &Context,
                            const std::string &Workspace, std::string Id);

/// Revokes the key named \p Id.
program::exit_code revokeKey(const command_context &Context,
                             const std::string &Id);

/// Prints the version in force and what each instance confirmed.
program::exit_code printStatus(const command_context &Context);

/// Prints the newest \p Limit accepted changes.
program::exit_code printAudit(const command_context &Context, size_t Limit);

/// Prints the platform's list beside the rows that instances wrote.
program::exit_code printInstances(const command_context &Context);

} // namespace magnolia::ctl
