#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <absl/status/status.h>
#include <absl/status/statusor.h>
#include <absl/types/span.h>

/// Interfaces of the platform's services as function hooks, implemented by HTTP
/// clients in processes and in memory in tests.
namespace magnolia::platform {

/// One row of the table service.
struct row {
  std::string Key;
  std::string Value;
  /// Increases with each write of the row; zero for an absent row.
  uint64_t Version = 0;
  /// Increases each time the table is restored from an older copy, after which
  /// versions of rows are given out again; the same for all rows that are read
  /// at one time.
  uint64_t Era = 0;
};

/// Precondition of a commit: the row has this version (zero: it is absent).
struct condition {
  std::string Key;
  uint64_t Version = 0;
};

/// Sets a row, or removes it if there is no value.
struct write {
  std::string Key;
  std::optional<std::string> Value;
};

/// The transactional table service. Calls block. Errors:
/// - Aborted: a condition did not hold, nothing was written.
/// - Unavailable: the service rejected the call, nothing was written.
/// - Unknown: no reply was received, the call may have taken effect.
struct table_service {
  /// Reads a row; the result has version zero if the row is absent.
  std::function<absl::StatusOr<row>(std::string_view Key)> Get;

  /// Reads all rows whose key starts with \p Prefix, in key order.
  std::function<absl::StatusOr<std::vector<row>>(std::string_view Prefix)> Scan;

  /// Applies all writes in one transaction if all conditions hold.
  std::function<absl::Status(absl::Span<const condition> Conditions,
                             absl::Span<const write> Writes)>
      Commit;
};

/// The object store. Objects are immutable and named by their SHA-256 digest.
struct object_store {
  std::function<absl::Status(std::string_view Digest, std::string_view Bytes)>
      Put;
  std::function<absl::StatusOr<std::string>(std::string_view Digest)> Get;
};

/// One entry of the platform's list of instances.
struct listed_instance {
  std::string Name;
  bool Draining = false;
};

/// The platform's list of live and draining instances; it lags behind.
struct instance_list {
  std::function<absl::StatusOr<std::vector<listed_instance>>()> Read;
};

/// All services of the platform.
struct services {
  table_service Table;
  object_store Objects;
  instance_list Instances;
};

} // namespace magnolia::platform
