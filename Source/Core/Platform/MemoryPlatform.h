#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include "Common/Time.h"
#include "Platform/Services.h"

namespace magnolia::platform {

/// Simulated faults of the platform. Each applies until it is changed.
struct platform_faults {
  /// Every call is rejected without effect.
  bool Down = false;
  /// Added to the duration of every call.
  std::chrono::microseconds Delay{0};
  /// Number of next commits that take effect but whose reply is lost.
  uint32_t LoseReplies = 0;
  /// Number of next commits that take effect only when releaseHeldCommits is
  /// called and whose reply is lost.
  uint32_t HoldCommits = 0;
};

/// Dependencies of a memory_platform.
struct memory_platform_hooks {
  /// The clock for the lag of the instance list.
  std::function<common::boot_time()> Now = common::boot_clock::now;
  /// Waits for the simulated delay of a call.
  std::function<void(std::chrono::microseconds)> Sleep;
  /// Invoked before each call without a lock held, so that a test can
  /// interleave calls of another operator.
  std::function<void()> BeforeCall;
};

/// In-memory implementation of the platform's services, for tests and the
/// platform stand-in. Thread-safe; must outlive the services it returns.
class memory_platform {
public:
  explicit memory_platform(memory_platform_hooks Hooks = {});

  /// Returns services that are backed by this object.
  services bind();

  void setFaults(const platform_faults &Faults);
  platform_faults faults() const;

  /// Applies the held commits in order of arrival, each only if its conditions
  /// still hold.
  void releaseHeldCommits();

  /// A copy of the table's rows.
  struct table_copy {
    std::map<std::string, row, std::less<>> Rows;
    uint64_t LastVersion = 0;
  };
  table_copy copyTable() const;
  /// Replaces the rows by those of \p Copy, as an operator does who restores a
  /// backup: a new era begins, and versions after the copy are given out again.
  /// Objects stay.
  void restoreTable(const table_copy &Copy);

  /// Replaces the instance list; readers see the new one after the lag.
  void setInstances(std::vector<listed_instance> Instances);
  void setListLag(std::chrono::microseconds Lag);

  /// Calls of all services since the start, including those rejected by faults.
  uint64_t callCount() const;

private:
  struct held_commit {
    std::vector<condition> Conditions;
    std::vector<write> Writes;
  };
  struct delayed_list {
    common::boot_time VisibleFrom;
    std::vector<listed_instance> Instances;
  };

  absl::Status beginCall();
  absl::Status applyLocked(absl::Span<const condition> Conditions,
                           absl::Span<const write> Writes)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(Mutex);
  /// The row as it is read in the current era.
  row inEra(row Row) const ABSL_EXCLUSIVE_LOCKS_REQUIRED(Mutex);
  absl::StatusOr<row> get(std::string_view Key);
  absl::StatusOr<std::vector<row>> scan(std::string_view Prefix);
  absl::Status commit(absl::Span<const condition> Conditions,
                      absl::Span<const write> Writes);
  absl::Status putObject(std::string_view Digest, std::string_view Bytes);
  absl::StatusOr<std::string> getObject(std::string_view Digest);
  absl::StatusOr<std::vector<listed_instance>> listInstances();

  const memory_platform_hooks Hooks;
  mutable absl::Mutex Mutex;
  platform_faults Faults ABSL_GUARDED_BY(Mutex);
  std::map<std::string, row, std::less<>> Rows ABSL_GUARDED_BY(Mutex);
  std::map<std::string, std::string, std::less<>>
      Objects ABSL_GUARDED_BY(Mutex);
  std::vector<held_commit> HeldCommits ABSL_GUARDED_BY(Mutex);
  std::vector<delayed_list> Lists ABSL_GUARDED_BY(Mutex);
  std::chrono::microseconds ListLag ABSL_GUARDED_BY(Mutex){0};
  uint64_t LastVersion ABSL_GUARDED_BY(Mutex) = 0;
  uint64_t Era ABSL_GUARDED_BY(Mutex) = 0;
  uint64_t Calls ABSL_GUARDED_BY(Mutex) = 0;
};

} // namespace magnolia::platform
