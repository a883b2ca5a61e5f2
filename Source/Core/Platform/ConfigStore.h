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

/// Configurations stored in the platform: immutable snapshots in the object
/// store, and one head row in the table that names the version in force.
namespace magnolia::platform {

/// Content of the head row.
struct config_head {
  /// Zero before the first change.
  uint64_t Version = 0;
  /// Id of the change that created this version.
  std::string ChangeId;
  /// SHA-256 of the encoded configuration, which is its name in the object
  /// store.
  std::string Digest;
  std::string Actor;
  /// Version of the row itself, for use in conditions.
  uint64_t RowVersion = 0;
  /// The era of the table when the row was read.
  uint64_t Era = 0;
};

/// One entry of the audit trail: an accepted change.
struct audit_entry {
  uint64_t Version = 0;
  /// The version that the change replaced.
  uint64_t Replaced = 0;
  std::string ChangeId;
  std::string Actor;
  /// Wall clock of the operator's machine.
  common::wall_time When;
  /// For example "apply" or "key issue".
  std::string Action;
  std::string Digest;
  /// Lines of the diff; if it was truncated, the last one has the number of
  /// omitted lines.
  std::vector<std::string> Changes;
};

/// A change requested by an operator.
struct change_request {
  std::string Actor;
  std::string Action;
  /// Edits the configuration in force; an error rejects the change.
  std::function<absl::Status(contract::configuration &)> Edit;
  /// If set, the change is rejected when another version is in force.
  std::optional<uint64_t> BasedOn;
  /// Repeats the edit on top of a concurrent change that was committed first,
  /// for edits that have the same meaning on any version.
  bool RetryOnConflict = false;
};

/// The result of a change.
struct accepted_change {
  uint64_t Version = 0;
  std::string ChangeId;
  /// False if the edit changed nothing and the version stays the same.
  bool Changed = true;
};

/// Dependencies of a config_store.
struct config_store_hooks {
  std::function<common::wall_time()> Now = common::wallNow;
  /// Returns a unique change id.
  std::function<std::string()> NewChangeId;
  /// Waits between attempts after a lost reply.
  std::function<void(std::chrono::milliseconds)> Sleep;
};

/// Reads and changes the configuration stored in the platform. Calls block. Not
/// thread-safe.
class config_store {
public:
  explicit config_store(services Services, config_store_hooks Hooks = {});

  /// The content of the head row; version zero before the first change.
  absl::StatusOr<config_head> readHead() const;

  /// The configuration named by \p Head; DataLoss if the digest or version of
  /// the object differs.
  absl::StatusOr<contract::configuration> load(const config_head &Head) const;

  /// Commits the change as the next version. Errors:
  /// - Aborted: another change was committed first; the message names it.
  /// - Unavailable: the platform rejected the call, nothing is changed.
  /// - Unknown: the change may have been accepted; the message has its id.
  /// - the error of the edit: nothing is changed.
  absl::StatusOr<accepted_change> change(const change_request &Request);

  /// The latest \p Limit entries of the audit trail, most recent first.
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

/// Parses a head row; DataLoss if its value is malformed.
absl::StatusOr<config_head> decodeHead(const row &Row);

/// Key of the head row.
inline constexpr std::string_view ConfigHeadKey = "config/head";

} // namespace magnolia::platform
