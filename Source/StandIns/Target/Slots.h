#pragma once

#include <cstdint>
#include <functional>

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include "Common/Time.h"

namespace magnolia::stand_ins {

/// The requests that a target runs at once, and a bounded queue before them.
class slots {
public:
  slots(uint32_t SlotCount, uint32_t QueueLimit);

  enum class result : uint8_t { Taken, QueueFull, GaveUp };

  /// Waits for a slot until \p GiveUp says to stop, which is asked now and
  /// then.
  result acquire(const std::function<bool()> &GiveUp);
  void release();

  uint32_t busy() const;
  uint32_t waiting() const;

private:
  const uint32_t SlotCount;
  const uint32_t QueueLimit;
  mutable absl::Mutex Mutex;
  absl::CondVar Changed;
  uint32_t Busy ABSL_GUARDED_BY(Mutex) = 0;
  uint32_t Waiting ABSL_GUARDED_BY(Mutex) = 0;
};

} // namespace magnolia::stand_ins
