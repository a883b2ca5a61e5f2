#pragma once

#include <atomic>
#include <functional>
#include <string>
#include <thread>
#include <vector>

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include "ScenarioTests/Fleet.h"
#include "ScenarioTests/Http.h"

namespace magnolia::scenario {

/// What one caller sent and got.
struct exchange {
  std::string Address;
  call Call;
  call_result Result;
};

/// Threads that send calls one after the other until they are stopped.
class caller_group {
public:
  /// Makes the next call of thread \p Thread, its \p Number-th, and names the
  /// instance address that it goes to.
  using maker =
      std::function<std::pair<std::string, call>(int Thread, int Number)>;

  caller_group(int Threads, maker Make);
  ~caller_group();
  caller_group(const caller_group &) = delete;
  caller_group &operator=(const caller_group &) = delete;

  /// Ends the threads and returns every exchange.
  std::vector<exchange> stop();

  /// How many exchanges have ended so far with \p Status.
  size_t count(int Status) const;

private:
  void run(int Thread);

  const maker Make;
  std::atomic<bool> Stopping{false};
  mutable absl::Mutex Mutex;
  std::vector<exchange> Exchanges ABSL_GUARDED_BY(Mutex);
  std::vector<std::thread> Threads;
};

/// The largest number of runs above `Burst + Rate * window` over all windows
/// that begin and end with a run; zero or less where the bound holds. A run
/// counts when its instance spent the right to send it, since the way to the
/// target takes each request another time; runs that no log tells of (their
/// instance was killed) count when the target began them.
double worstExcess(const fleet &Fleet, const std::vector<target_run> &Runs,
                   const std::string &Workspace, double Rate, double Burst);

/// Refusals that say "not run" although a target logged a run with their
/// `X-Call` header; each call must carry a value of its own there.
std::vector<std::string> falseNotRun(const std::vector<exchange> &Exchanges,
                                     const std::vector<target_run> &Runs);

} // namespace magnolia::scenario
