#include "Common/LogQueue.h"

#include <absl/time/time.h>

namespace magnolia::common {

log_queue::permission log_queue::admit(const std::string &Kind, bool Important,
                                       boot_time Now) {
  const int64_t Second =
      std::chrono::duration_cast<std::chrono::seconds>(Now.time_since_epoch())
          .count();
  const absl::MutexLock Lock(&Mutex);
  kind_state &State = Kinds[Kind];
  if (State.Second != Second) {
    State.Second = Second;
    State.Lines = 0;
  }
  const uint32_t MaxLines =
      Important ? Limits.ImportantLinesPerSecond : Limits.RoutineLinesPerSecond;
  const size_t MaxQueued =
      Important ? Limits.MaxQueuedLines : Limits.MaxQueuedLines / 2;
  if (State.Lines >= MaxLines || Lines.size() >= MaxQueued) {
    ++State.Dropped;
    ++TotalDropped;
    return {};
  }
  ++State.Lines;
  const uint64_t Dropped = State.Dropped;
  State.Dropped = 0;
  return {true, Dropped};
}

void log_queue::add(std::string Line) {
  const absl::MutexLock Lock(&Mutex);
  if (Lines.empty())
    Added.Signal();
  Lines.push_back(std::move(Line));
}

std::optional<std::string> log_queue::take(boot_clock::duration Timeout) {
  const absl::MutexLock Lock(&Mutex);
  WriteInProgress = false;
  if (Lines.empty())
    Added.WaitWithTimeout(&Mutex, absl::FromChrono(Timeout));
  if (Lines.empty())
    return std::nullopt;
  std::string Line = std::move(Lines.front());
  Lines.pop_front();
  WriteInProgress = true;
  return Line;
}

size_t log_queue::pending() const {
  const absl::MutexLock Lock(&Mutex);
  return Lines.size() + (WriteInProgress ? 1 : 0);
}

uint64_t log_queue::dropped() const {
  const absl::MutexLock Lock(&Mutex);
  return TotalDropped;
}

} // namespace magnolia::common
