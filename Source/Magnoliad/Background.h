#pragma once

#include <atomic>
#include <functional>
#include <memory>

#include "Net/Base/WorkerPool.h"

namespace magnolia::daemon {

/// Thread pool for calls to the platform, which can block for seconds.
class background {
public:
  background() : Workers({.ThreadLimit = ThreadCount}) {}

  void run(std::function<void()> Job) { Workers.run(std::move(Job)); }

  /// Returns a function for use by a timer: it starts \p Job on a thread unless
  /// the previous run has not ended yet.
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
