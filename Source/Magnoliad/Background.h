#pragma once

#include <atomic>
#include <functional>
#include <memory>

#include "Net/Base/WorkerPool.h"

namespace magnolia::daemon {

/// Threads for calls to the platform, which may block for seconds.
class background {
public:
  background() : Workers({.ThreadLimit = ThreadCount}) {}

  void run(std::function<void()> Job) { Workers.run(std::move(Job)); }

  /// A job that is started again only after its last run has ended. Give the
  /// result to a timer.
  std::function<void()> exclusive(std::function<void()> Job) {
    auto Running = std::make_shared<std::atomic<bool>>(false);
    return [this, Running, Job = std::move(Job)] {
      if (Running->exchange(true))
        return;
      run([Running, Job] {
        Job();
        *Running = false;
      });
    };
  }

private:
  static constexpr size_t ThreadCount = 6;

  net::worker_pool Workers;
};

} // namespace magnolia::daemon
