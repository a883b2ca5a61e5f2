#pragma once

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include "Common/Time.h"

/// A stand-in for an application that serves requests in slots and can be made
/// to fail in the ways that gray targets do.
namespace magnolia::stand_ins {

enum class run_end : uint8_t {
  Running,
  Finished,
  CallerGone,
  DeadlineExceeded
};

/// One request that the target ran, at least in part.
struct run {
  std::string RequestId;
  std::string Method;
  std::string Path;
  std::string IdempotencyKey;
  std::string Workspace;
  common::wall_time Started;
  uint64_t BodyBytes = 0;
  run_end End = run_end::Running;
  std::vector<std::pair<std::string, std::string>> Headers;
};

/// Every run since the start or the last clear(). Thread-safe.
class run_log {
public:
  /// Appends to \p File as well unless it is empty: one JSON object a line.
  explicit run_log(std::string File);

  /// Returns the run's number.
  size_t begin(run Run);
  void end(size_t Number, run_end End);
  void clear();

  /// Every run as a JSON array.
  std::string toJson() const;

private:
  const std::string File;
  mutable absl::Mutex Mutex;
  std::vector<run> Runs ABSL_GUARDED_BY(Mutex);
  /// Number of the first run that is kept.
  size_t First ABSL_GUARDED_BY(Mutex) = 0;
};

} // namespace magnolia::stand_ins
