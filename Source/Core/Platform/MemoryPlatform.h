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

/// Faults of the platform, each in force until set otherwise.
struct platform_faults {
  /// Every call is refused without effect.
  bool Down = false;
  /// Every call takes this much longer.
  std::chrono::microseconds Delay{0};
  /// Of this many commits to come, each takes effect and its reply is lost.
  uint32_t LoseReplies = 0;
  /// Of this many commits to come, each takes effect only when
  /// releaseHeldCommits is called, and the reply is lost.
  uint32_t HoldCommits = 0;
};

/// What a memory_platform takes from its surroundings.
struct memory_platform_hooks {
  /// The time by which the instance list lags.
  std::function<common::boot_time()> Now = common::boot_clock::now;
  /// Waits for the delay of a slow platform.
  std::function<void(std::chrono::microseconds)> Sleep;
  /// Called before each call, outside of any lock, so that a test can let
  /// another operator come in between.
  std::function<void()> BeforeCall;
};

/// The platform's services in memory: for tests and behind the stand-in.
/// Thread-safe; must outlive the hooks that it hands out.
class memory_platform {
public:
  explicit memory_platform(memory_platform_hooks Hooks = {});

  /// The services, bound to this object.
  services bind();

  void setFaults(const platform_faults &Faults);
  platform_faults faults() const;

  /// Lets the commits that were held take effect, if their conditions still
  /// hold, in the order in which they came.
  void releaseHeldCommits();

  /// Replaces the instance list; readers see it after the lag.
  void setInstances(std::vector<listed_instance> Instances);
  void setListLag(std::chrono::microseconds Lag);

  /// Calls taken by the table and the object store since the start.
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
  uint64_t Calls ABSL_GUARDED_BY(Mutex) = 0;
};

} // namespace magnolia::platform
