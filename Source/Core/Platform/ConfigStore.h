#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include "Common/Time.h"
#include "Contract/Manifest.h"
#include "Platform/Services.h"

/// Configurations in the platform: immutable snapshots in the object store and
/// one head row in the table that names the version in force.
namespace magnolia::platform {

/// Content of the head row.
struct config_head {
  /// Zero before the first change.
  uint64_t Version = 0;
  /// Names the change that made this version.
  std::string ChangeId;
  /// SHA-256 of the encoded configuration, its name in the object store.
  std::string Digest;
  std::string Actor;
  /// Version of the row itself, for conditions.
  uint64_t RowVersion = 0;
};

/// One line of the audit trail: an accepted change.
struct audit_entry {
  uint64_t Version = 0;
  std::string ChangeId;
  std::string Actor;
  /// By the operator's wall clock.
  common::wall_time When;
  /// Such as "apply", "key issue".
  std::string Action;
  std::string Digest;
  /// Lines of the diff; the last says how many were left out.
  std::vector<std::string> Changes;
};

/// A change that an operator asks for.
struct change_request {
  std::string Actor;
  std::string Action;
  /// Edits the configuration in force; an error refuses the change.
  std::function<absl::Status(contract::configuration &)> Edit;
  /// Where given, the change is refused once another version is in force.
  std::optional<uint64_t> BasedOn;
  /// Makes the edit anew on top of a change that came first, for edits that
  /// mean the same on any version.
  bool RetryOnConflict = false;
};

/// The outcome of a change.
struct accepted_change {
  uint64_t Version = 0;
  std::string ChangeId;
  /// False where the edit changed nothing and the version stayed.
  bool Changed = true;
};

/// What a config_store takes from its surroundings.
struct config_store_hooks {
  std::function<common::wall_time()> Now = common::wallNow;
  /// A change id that no other change has.
  std::function<std::string()> NewChangeId;
  /// Waits between attempts after a lost reply.
  std::function<void(std::chrono::milliseconds)> Sleep;
};

/// Reads and changes the configuration kept in the platform. Calls block. Not
/// for use by several threads at once.
class config_store {
public:
  explicit config_store(services Services, config_store_hooks Hooks = {});

  /// The head; version zero before the first change.
  absl::StatusOr<config_head> readHead() const;

  /// The configuration that \p Head names; DataLoss where the object's digest
  /// or version is another.
  absl::StatusOr<contract::configuration> load(const config_head &Head) const;

  /// Commits the change as the next version. Errors:
  /// - Aborted: another change came first; the message names it.
  /// - Unavailable: the platform did not take it, nothing is changed.
  /// - Unknown: it may have been accepted; the message names its change id.
  /// - the error of the edit: nothing is changed.
  absl::StatusOr<accepted_change> change(const change_request &Request);

  /// The newest \p Limit entries of the audit trail, newest first.
  absl::StatusOr<std::vector<audit_entry>> readAudit(size_t Limit) const;

private:
  struct transaction;

  absl::StatusOr<accepted_change> tryChange(const change_request &Request);
  absl::StatusOr<transaction> prepare(const config_head &Head,
                                      const change_request &Request,
                                      const contract::configuration &Old,
                                      contract::configuration New);
  absl::StatusOr<accepted_change> commit(const transaction &Transaction);
  absl::StatusOr<std::optional<audit_entry>> findAudit(uint64_t Version) const;
  absl::Status conflict(uint64_t Version) const;

  services Services;
  config_store_hooks Hooks;
};

/// Reads a head row; DataLoss where its value is not a head.
absl::StatusOr<config_head> decodeHead(const row &Row);

/// Key of the head row.
inline constexpr std::string_view ConfigHeadKey = "config/head";

} // namespace magnolia::platform
