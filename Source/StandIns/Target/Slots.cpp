#include "StandIns/Target/Slots.h"

#include <absl/time/time.h>

namespace magnolia::stand_ins {
namespace {

constexpr absl::Duration GiveUpCheckPeriod = absl::Milliseconds(10);

} // namespace

slots::slots(uint32_t SlotCount, uint32_t QueueLimit)
    : SlotCount(SlotCount), QueueLimit(QueueLimit) {}

slots::result slots::acquire(const std::function<bool()> &GiveUp) {
  const absl::MutexLock Lock(&Mutex);
  if (Busy >= SlotCount && Waiting >= QueueLimit)
    return result::QueueFull;
  ++Waiting;
  bool Stop = false;
  while (Busy >= SlotCount && !Stop) {
    Changed.WaitWithTimeout(&Mutex, GiveUpCheckPeriod);
    Stop = GiveUp();
  }
  --Waiting;
  if (Busy >= SlotCount || Stop)
    return result::GaveUp;
  ++Busy;
  return result::Taken;
}

void slots::release() {
  const absl::MutexLock Lock(&Mutex);
  --Busy;
  Changed.Signal();
}

uint32_t slots::busy() const {
  const absl::MutexLock Lock(&Mutex);
  return Busy;
}

uint32_t slots::waiting() const {
  const absl::MutexLock Lock(&Mutex);
  return Waiting;
}

} // namespace magnolia::stand_ins
