#include "Net/Http/WorkerPool.h"

#include <utility>

namespace magnolia::http {

worker_pool::~worker_pool() {
  std::vector<std::thread> Joining;
  {
    const absl::MutexLock Lock(&Mutex);
    Stopping = true;
    Joining.swap(Threads);
  }
  for (std::thread &Thread : Joining)
    Thread.join();
}

void worker_pool::run(std::function<void()> Job) {
  const absl::MutexLock Lock(&Mutex);
  Jobs.push_back(std::move(Job));
  if (Jobs.size() > IdleThreads && Threads.size() < MaxThreads)
    Threads.emplace_back([this] { work(); });
}

void worker_pool::work() {
  while (true) {
    std::function<void()> Job;
    {
      const absl::MutexLock Lock(&Mutex);
      ++IdleThreads;
      Mutex.Await(absl::Condition(this, &worker_pool::ready));
      --IdleThreads;
      if (Jobs.empty())
        return;
      Job = std::move(Jobs.front());
      Jobs.pop_front();
    }
    Job();
  }
}

} // namespace magnolia::http
