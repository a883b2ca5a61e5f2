#include "Net/Base/WorkerPool.h"

#include <system_error>
#include <thread>

#include <absl/time/time.h>

namespace magnolia::net {

worker_pool::worker_pool(const settings &Settings) : Settings(Settings) {}

worker_pool::~worker_pool() {
  const absl::MutexLock Lock(&Mutex);
  Stopping = true;
  Changed.SignalAll();
  while (Threads > 0)
    ThreadEnded.Wait(&Mutex);
}

bool worker_pool::ensureThreadLocked() {
  if (Idle > Queue.size())
    return true;
  if (Threads >= Settings.ThreadLimit)
    return false;
  try {
    std::thread([this] { runWorker(); }).detach();
  } catch (const std::system_error &) {
    return false; // The system cannot start more threads.
  }
  ++Threads;
  ++Idle;
  return true;
}

bool worker_pool::tryRun(std::function<void()> Work) {
  const absl::MutexLock Lock(&Mutex);
  if (!ensureThreadLocked())
    return false;
  Queue.push_back(std::move(Work));
  Changed.Signal();
  return true;
}

void worker_pool::run(std::function<void()> Work) {
  const absl::MutexLock Lock(&Mutex);
  ensureThreadLocked();
  Queue.push_back(std::move(Work));
  Changed.Signal();
}

size_t worker_pool::threadCount() const {
  const absl::MutexLock Lock(&Mutex);
  return Threads;
}

void worker_pool::runWorker() {
  Mutex.Lock();
  while (awaitWorkLocked()) {
    std::function<void()> Work = std::move(Queue.front());
    Queue.pop_front();
    --Idle;
    Mutex.Unlock();
    Work();
    Work = nullptr;
    Mutex.Lock();
    ++Idle;
  }
  --Idle;
  --Threads;
  ThreadEnded.SignalAll();
  Mutex.Unlock();
}

bool worker_pool::awaitWorkLocked() {
  const absl::Time Limit = absl::Now() + absl::FromChrono(Settings.IdleTime);
  while (Queue.empty()) {
    if (Stopping)
      return false;
    if (Changed.WaitWithDeadline(&Mutex, Limit) && Queue.empty())
      return false;
  }
  return true;
}

} // namespace magnolia::net
