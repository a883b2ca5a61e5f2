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

/// The services that the platform provides, as hooks: processes fill them with
/// HTTP clients, tests with maps in memory.
namespace magnolia::platform {

/// One row of the table service.
struct row {
  std::string Key;
  std::string Value;
  /// Grows with each write of the row; zero stands for an absent row.
  uint64_t Version = 0;
};

/// Holds when the row's version is \p Version (zero: when it is absent).
struct condition {
  std::string Key;
  uint64_t Version = 0;
};

/// Sets a row, or removes it where the value is absent.
struct write {
  std::string Key;
  std::optional<std::string> Value;
};

/// The transactional table service. Calls block. Errors:
/// - Aborted: a condition did not hold, nothing was written.
/// - Unavailable: the service did not take the call, nothing was written.
/// - Unknown: no answer came, the call may have taken effect.
struct table_service {
  /// The row; one with version zero where it is absent.
  std::function<absl::StatusOr<row>(std::string_view Key)> Get;

  /// Every row whose key starts with \p Prefix, in key order.
  std::function<absl::StatusOr<std::vector<row>>(std::string_view Prefix)> Scan;

  /// Applies all writes in one transaction if all conditions hold.
  std::function<absl::Status(absl::Span<const condition> Conditions,
                             absl::Span<const write> Writes)>
      Commit;
};

/// The object store. Objects are immutable and named by their SHA-256.
struct object_store {
  std::function<absl::Status(std::string_view Digest, std::string_view Bytes)>
      Put;
  std::function<absl::StatusOr<std::string>(std::string_view Digest)> Get;
};

/// One line of the platform's list of instances, which lags.
struct listed_instance {
  std::string Name;
  bool Draining = false;
};

/// The platform's list of live and leaving instances.
struct instance_list {
  std::function<absl::StatusOr<std::vector<listed_instance>>()> Read;
};

/// Everything that the platform provides.
struct services {
  table_service Table;
  object_store Objects;
  instance_list Instances;
};

} // namespace magnolia::platform
