#pragma once

#include <cstddef>
#include <deque>
#include <functional>
#include <thread>
#include <vector>

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

namespace magnolia::http {

/// Threads that run jobs which may block. Grows by a thread when a job comes
/// and none is idle, up to a limit; further jobs wait.
class worker_pool {
public:
  explicit worker_pool(size_t MaxThreads) : MaxThreads(MaxThreads) {}

  /// Finishes all jobs and joins the threads.
  ~worker_pool();
  worker_pool(const worker_pool &) = delete;
  worker_pool &operator=(const worker_pool &) = delete;

  void run(std::function<void()> Job);

private:
  void work();
  bool ready() const ABSL_EXCLUSIVE_LOCKS_REQUIRED(Mutex) {
    return Stopping || !Jobs.empty();
  }

  const size_t MaxThreads;
  absl::Mutex Mutex;
  std::deque<std::function<void()>> Jobs ABSL_GUARDED_BY(Mutex);
  std::vector<std::thread> Threads ABSL_GUARDED_BY(Mutex);
  size_t IdleThreads ABSL_GUARDED_BY(Mutex) = 0;
  bool Stopping ABSL_GUARDED_BY(Mutex) = false;
};

} // namespace magnolia::http
