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

/// Bounds on what is logged.
struct log_limits {
  /// Lines of one kind in a second, by importance.
  uint32_t RoutineLinesPerSecond = 200;
  uint32_t ImportantLinesPerSecond = 500;
  /// Lines that wait to be written. Routine ones are left out above half of it.
  size_t MaxQueuedLines = 4000;
};

/// Lines on their way to a writer that may be slow or stuck. Adding one never
/// waits for it. Thread-safe.
class log_queue {
public:
  explicit log_queue(const log_limits &Limits) : Limits(Limits) {}

  /// Whether a line of \p Kind may be added now; how many of its kind were left
  /// out since the last one that was.
  struct permission {
    bool Granted = false;
    uint64_t Dropped = 0;
  };
  permission admit(const std::string &Kind, bool Important, boot_time Now);

  /// Adds a line that was granted.
  void add(std::string Line);

  /// The next line, empty when none came within \p Limit. The line before it
  /// counts as written now.
  std::optional<std::string> take(boot_clock::duration Limit);

  /// Lines that are not written.
  size_t pending() const;
  /// Lines left out since the start.
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
  /// A line that was taken and may not be written yet.
  bool WriteInProgress ABSL_GUARDED_BY(Mutex) = false;
  uint64_t TotalDropped ABSL_GUARDED_BY(Mutex) = 0;
};

} // namespace magnolia::common
