#pragma once

#include <chrono>
#include <cstddef>
#include <deque>
#include <functional>

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

namespace magnolia::net {

/// Threads for work that blocks. A thread is added when no idle one is there
/// and ends after some idle time, so that the number follows the load.
class worker_pool {
public:
  struct settings {
    size_t ThreadLimit = 1024;
    std::chrono::milliseconds IdleTime{10'000};
  };

  explicit worker_pool(const settings &Settings);
  /// Waits for all work.
  ~worker_pool();
  worker_pool(const worker_pool &) = delete;
  worker_pool &operator=(const worker_pool &) = delete;

  /// Runs \p Work soon; false when every thread is busy and the limit reached.
  bool tryRun(std::function<void()> Work);

  /// Runs \p Work once a thread is free.
  void run(std::function<void()> Work);

  size_t threadCount() const;

private:
  /// Adds a thread where none is free; whether one is free now.
  bool ensureThreadLocked() ABSL_EXCLUSIVE_LOCKS_REQUIRED(Mutex);
  void runWorker();
  bool awaitWorkLocked() ABSL_EXCLUSIVE_LOCKS_REQUIRED(Mutex);

  const settings Settings;
  mutable absl::Mutex Mutex;
  absl::CondVar Changed;
  absl::CondVar ThreadEnded;
  std::deque<std::function<void()>> Queue ABSL_GUARDED_BY(Mutex);
  size_t Threads ABSL_GUARDED_BY(Mutex) = 0;
  size_t Idle ABSL_GUARDED_BY(Mutex) = 0;
  bool Stopping ABSL_GUARDED_BY(Mutex) = false;
};

} // namespace magnolia::net
