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

/// The commands of magnoliactl. Each prints its result and returns the exit
/// code of the program.
namespace magnolia::ctl {

/// The platform services, output streams and options of a command.
struct command_context {
  platform::services Services;
  /// Author of a change, recorded in the audit trail.
  std::string Actor;
  std::ostream *Out = nullptr;
  std::ostream *Error = nullptr;
  /// Longest wait for instances to confirm a change; no wait if absent.
  std::optional<std::chrono::milliseconds> Wait;
  platform::config_store_hooks StoreHooks;
  std::function<common::wall_time()> Now = common::wallNow;
  std::function<void(std::chrono::milliseconds)> Sleep;
};

/// Checks the manifest in \p File and prints how many workspaces, services,
/// targets and routes it has.
program::exit_code validate(const command_context &Context,
                            const std::string &File);

/// Prints what applying \p File would change.
program::exit_code printDiff(const command_context &Context,
                             const std::string &File);

/// Commits the manifest in \p File and waits for instances to confirm it.
program::exit_code apply(const command_context &Context,
                         const std::string &File);

/// Creates a key of \p Workspace with the id \p Id, or a random id if empty,
/// prints its secret, which is not stored, and waits for instances to confirm
/// the change.
program::exit_code issueKey(const command_context &Context,
                            const std::string &Workspace, std::string Id);

/// Revokes the key \p Id and waits for instances to confirm the change.
program::exit_code revokeKey(const command_context &Context,
                             const std::string &Id);

/// Records that the requests whose claims the table lost when it was restored
/// are settled, so that idempotency keys are claimed again.
program::exit_code settleClaims(const command_context &Context);

/// Prints the version in force and the version that each instance confirmed.
program::exit_code printStatus(const command_context &Context);

/// Prints the newest \p Limit accepted changes.
program::exit_code printAudit(const command_context &Context, size_t Limit);

/// Prints all instances that are listed by the platform or have a row, with
/// their addresses and failure domains.
program::exit_code printInstances(const command_context &Context);

} // namespace magnolia::ctl
