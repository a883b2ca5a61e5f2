#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <thread>

#include <absl/base/thread_annotations.h>
#include <absl/container/flat_hash_map.h>
#include <absl/synchronization/mutex.h>

#include "Common/Time.h"

namespace magnolia::common {

/// Calls subscribers at scheduled times. It reads no clock: its owner calls
/// advance(), in tests with simulated time, in a process from a timer_thread.
/// Thread-safe; callbacks run without the lock held.
class timer_service {
public:
  using callback = std::function<void(boot_time Now)>;
  using subscription = uint64_t;

  /// Calls \p Callback every \p Period, first at \p First.
  subscription subscribeEvery(boot_time First, boot_clock::duration Period,
                              callback Callback);

  /// Calls \p Callback once, at \p When.
  subscription subscribeOnce(boot_time When, callback Callback);

  /// Ends a subscription. Does not wait for a callback that is already running.
  void cancel(subscription Id);

  /// Runs every callback that is due at \p Now, in the order of due times. A
  /// periodic callback that missed several periods runs once.
  void advance(boot_time Now);

  /// The earliest due time, if anything is subscribed.
  std::optional<boot_time> nextDue() const;

  /// Blocks until the earliest due time may have changed or \p Timeout has
  /// passed.
  void awaitChange(boot_clock::duration Timeout) const;

private:
  struct entry {
    callback Callback;
    boot_clock::duration Period;
    boot_time Due;
  };

  subscription add(boot_time Due, boot_clock::duration Period,
                   callback Callback);
  std::optional<callback> takeDue(boot_time Now);

  mutable absl::Mutex Mutex;
  mutable absl::CondVar Changed;
  subscription NextId ABSL_GUARDED_BY(Mutex) = 1;
  absl::flat_hash_map<subscription, entry> Entries ABSL_GUARDED_BY(Mutex);
  std::multimap<boot_time, subscription> Queue ABSL_GUARDED_BY(Mutex);
};

/// Drives a timer_service from the boot clock on its own thread.
class timer_thread {
public:
  explicit timer_thread(timer_service &Service);
  ~timer_thread();
  timer_thread(const timer_thread &) = delete;
  timer_thread &operator=(const timer_thread &) = delete;

private:
  void run();

  timer_service &Service;
  absl::Mutex Mutex;
  bool Stopping ABSL_GUARDED_BY(Mutex) = false;
  std::thread Thread;
};

} // namespace magnolia::common
