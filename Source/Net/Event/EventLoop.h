#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <vector>

#include <absl/base/thread_annotations.h>
#include <absl/container/flat_hash_map.h>
#include <absl/status/status.h>
#include <absl/status/statusor.h>
#include <absl/synchronization/mutex.h>

#include "Common/Time.h"
#include "Common/TimerService.h"

/// Event-driven input and output without a thread per connection.
namespace magnolia::event {

using common::boot_time;
using duration = common::boot_clock::duration;

/// An epoll loop that waits for descriptors and timers and calls their hooks.
/// All members except post() may be used only on the thread that calls run().
class event_loop {
public:
  using ready_hook = std::function<void(uint32_t Events)>;
  using hook = std::function<void()>;
  using timer_id = common::timer_service::subscription;

  /// Fails when the system cannot set up the epoll and eventfd descriptors.
  static absl::StatusOr<std::unique_ptr<event_loop>> create();
  ~event_loop();
  event_loop(const event_loop &) = delete;
  event_loop &operator=(const event_loop &) = delete;

  /// Calls \p Hook whenever one of \p Events (EPOLLIN, EPOLLOUT) is pending.
  absl::Status watch(int Descriptor, uint32_t Events, ready_hook Hook);

  /// Changes the events that a watched descriptor waits for.
  void changeEvents(int Descriptor, uint32_t Events);

  /// Stops watching. The hook is not called again, not even for events that
  /// were already reported.
  void unwatch(int Descriptor);

  /// Calls \p Hook once after \p Delay.
  timer_id callAfter(duration Delay, hook Hook);

  /// Calls \p Hook every \p Period.
  timer_id callEvery(duration Period, hook Hook);

  /// Cancels a timer. Cancelling one that already fired is not an error.
  void cancel(timer_id Id) { Timers.cancel(Id); }

  /// Defers the release of \p Object until no hook is running, so that an
  /// object may be released from within its own hook.
  void retire(std::shared_ptr<void> Object);

  /// The time at the start of the current round of hooks.
  boot_time now() const { return Now; }

  /// Runs until stop().
  void run();

  /// Runs until \p Done is true, at most for \p Limit. Returns whether it is.
  bool runUntil(const std::function<bool()> &Done, duration Limit);

  /// Ends run() after the current round of hooks.
  void stop() { Stopping = true; }
  bool isStopping() const { return Stopping; }

  /// Calls \p Hook on the loop's thread. Safe from other threads.
  void post(hook Hook);

private:
  struct watched {
    uint32_t Generation = 0;
    std::shared_ptr<ready_hook> Hook;
  };

  event_loop(int EpollDescriptor, int WakeDescriptor);
  void runRound();
  void runPosted();
  void destroyRetired();
  int waitMillis() const;
  void dispatch(uint64_t Tag, uint32_t Events);

  const int EpollDescriptor;
  /// An eventfd that is readable when hooks were posted.
  const int WakeDescriptor;
  absl::Mutex PostedMutex;
  std::vector<hook> Posted ABSL_GUARDED_BY(PostedMutex);
  common::timer_service Timers;
  absl::flat_hash_map<int, watched> Watched;
  std::vector<std::shared_ptr<void>> Retired;
  uint32_t NextGeneration = 1;
  boot_time Now;
  bool Stopping = false;
};

} // namespace magnolia::event
