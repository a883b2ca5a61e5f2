#pragma once

#include <chrono>
#include <cstddef>
#include <deque>
#include <functional>

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

namespace magnolia::net {

/// A thread pool for blocking work. A thread is started when none is idle and
/// ends after the idle time, so that the number of threads follows the load.
class worker_pool {
public:
  struct settings {
    size_t ThreadLimit = 1024;
    std::chrono::milliseconds IdleTime{10'000};
  };

  explicit worker_pool(const settings &Settings);
  /// Waits until the threads have run all queued work.
  ~worker_pool();
  worker_pool(const worker_pool &) = delete;
  worker_pool &operator=(const worker_pool &) = delete;

  /// Queues \p Work if a thread is idle or can be started; false otherwise.
  bool tryRun(std::function<void()> Work);

  /// Queues \p Work until a thread is free.
  void run(std::function<void()> Work);

  size_t threadCount() const;

private:
  /// Starts a thread if none is free. Returns whether one is free now.
  bool ensureThreadLocked() ABSL_EXCLUSIVE_LOCKS_REQUIRED(Mutex);
  void runWorker();
  /// Waits for work; false if the thread has to end.
  bool awaitWorkLocked() ABSL_EXCLUSIVE_LOCKS_REQUIRED(Mutex);

  const settings Settings;
  mutable absl::Mutex Mutex;
  /// Signalled when work is queued and when the pool stops.
  absl::CondVar Changed;
  absl::CondVar ThreadEnded;
  std::deque<std::function<void()>> Queue ABSL_GUARDED_BY(Mutex);
  size_t Threads ABSL_GUARDED_BY(Mutex) = 0;
  /// Threads that run no work, also those that queued work is meant for.
  size_t Idle ABSL_GUARDED_BY(Mutex) = 0;
  bool Stopping ABSL_GUARDED_BY(Mutex) = false;
};

} // namespace magnolia::net
