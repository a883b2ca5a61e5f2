#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <string>

#include <absl/base/thread_annotations.h>
#include <absl/container/flat_hash_map.h>
#include <absl/synchronization/mutex.h>

#include "Common/Time.h"

namespace magnolia::common {

/// Limits on the rate and the number of queued log lines.
struct log_limits {
  /// Lines of one kind per second. Warnings and errors are important, other
  /// lines are routine.
  uint32_t RoutineLinesPerSecond = 200;
  uint32_t ImportantLinesPerSecond = 500;
  /// Lines that wait to be written. Routine lines are dropped above half of it.
  size_t MaxQueuedLines = 4000;
};

/// Bounded queue of log lines for a writer that may be slow or blocked. Adding
/// a line never waits for the writer. Thread-safe.
class log_queue {
public:
  explicit log_queue(const log_limits &Limits) : Limits(Limits) {}

  /// Whether a line may be added, and how many lines of its kind were dropped
  /// since the last one that was admitted.
  struct permission {
    bool Granted = false;
    uint64_t Dropped = 0;
  };
  permission admit(const std::string &Kind, bool Important, boot_time Now);

  /// Adds a line that admit() granted.
  void add(std::string Line);

  /// Removes the next line; empty if none is added within \p Timeout. The line
  /// taken before counts as written from now on.
  std::optional<std::string> take(boot_clock::duration Timeout);

  /// Number of lines that are not written yet.
  size_t pending() const;
  /// Number of lines dropped since the start.
  uint64_t dropped() const;

private:
  struct kind_state {
    int64_t Second = 0;
    uint32_t Lines = 0;
    uint64_t Dropped = 0;
  };

  const log_limits Limits;
  mutable absl::Mutex Mutex;
  absl::CondVar Added;
  std::deque<std::string> Lines ABSL_GUARDED_BY(Mutex);
  absl::flat_hash_map<std::string, kind_state> Kinds ABSL_GUARDED_BY(Mutex);
  /// The line taken last may not be written yet.
  bool WriteInProgress ABSL_GUARDED_BY(Mutex) = false;
  uint64_t TotalDropped ABSL_GUARDED_BY(Mutex) = 0;
};

} // namespace magnolia::common
