#include "Net/Event/EventLoop.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <unistd.h>

namespace magnolia::event {
namespace {

constexpr int MaxEventsPerRound = 64;
constexpr std::chrono::seconds MaxWait{10};

uint64_t tagOf(int Descriptor, uint32_t Generation) {
  return (uint64_t{Generation} << 32U) | static_cast<uint32_t>(Descriptor);
}

} // namespace

absl::StatusOr<std::unique_ptr<event_loop>> event_loop::create() {
  const int EpollDescriptor = epoll_create1(EPOLL_CLOEXEC);
  if (EpollDescriptor < 0)
    return absl::ErrnoToStatus(errno, "epoll_create1");
  const int WakeDescriptor = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
  if (WakeDescriptor < 0) {
    const int Error = errno;
    close(EpollDescriptor);
    return absl::ErrnoToStatus(Error, "eventfd");
  }
  std::unique_ptr<event_loop> Loop(
      new event_loop(EpollDescriptor, WakeDescriptor));
  event_loop *Raw = Loop.get();
  const absl::Status Watched = Loop->watch(
      WakeDescriptor, EPOLLIN, [Raw](uint32_t) { Raw->runPosted(); });
  if (!Watched.ok())
    return Watched;
  return Loop;
}

event_loop::event_loop(int EpollDescriptor, int WakeDescriptor)
    : EpollDescriptor(EpollDescriptor), WakeDescriptor(WakeDescriptor),
      Now(common::boot_clock::now()) {}

event_loop::~event_loop() {
  close(WakeDescriptor);
  close(EpollDescriptor);
}

void event_loop::post(hook Hook) {
  {
    const absl::MutexLock Lock(&PostedMutex);
    Posted.push_back(std::move(Hook));
  }
  const uint64_t One = 1;
  // The write fails only if the counter is full, and thus already readable.
  [[maybe_unused]] const ssize_t Written =
      write(WakeDescriptor, &One, sizeof(One));
}

void event_loop::runPosted() {
  uint64_t Count = 0;
  [[maybe_unused]] const ssize_t ReadSize =
      read(WakeDescriptor, &Count, sizeof(Count));
  std::vector<hook> Hooks;
  {
    const absl::MutexLock Lock(&PostedMutex);
    Hooks.swap(Posted);
  }
  for (const hook &Hook : Hooks)
    Hook();
}

absl::Status event_loop::watch(int Descriptor, uint32_t Events,
                               ready_hook Hook) {
  watched &Entry = Watched[Descriptor];
  Entry.Generation = NextGeneration++;
  Entry.Hook = std::make_shared<ready_hook>(std::move(Hook));
  epoll_event Event{};
  Event.events = Events;
  Event.data.u64 = tagOf(Descriptor, Entry.Generation);
  if (epoll_ctl(EpollDescriptor, EPOLL_CTL_ADD, Descriptor, &Event) == 0)
    return absl::OkStatus();
  Watched.erase(Descriptor);
  return absl::ErrnoToStatus(errno, "epoll_ctl");
}

void event_loop::changeEvents(int Descriptor, uint32_t Events) {
  const auto Found = Watched.find(Descriptor);
  if (Found == Watched.end())
    return;
  epoll_event Event{};
  Event.events = Events;
  Event.data.u64 = tagOf(Descriptor, Found->second.Generation);
  epoll_ctl(EpollDescriptor, EPOLL_CTL_MOD, Descriptor, &Event);
}

void event_loop::unwatch(int Descriptor) {
  const auto Found = Watched.find(Descriptor);
  if (Found == Watched.end())
    return;
  epoll_ctl(EpollDescriptor, EPOLL_CTL_DEL, Descriptor, nullptr);
  // The hook may be running now.
  retire(std::move(Found->second.Hook));
  Watched.erase(Found);
}

event_loop::timer_id event_loop::callAfter(duration Delay, hook Hook) {
  return Timers.subscribeOnce(Now + Delay,
                              [Hook = std::move(Hook)](boot_time) { Hook(); });
}

event_loop::timer_id event_loop::callEvery(duration Period, hook Hook) {
  return Timers.subscribeEvery(Now + Period, Period,
                               [Hook = std::move(Hook)](boot_time) { Hook(); });
}

void event_loop::retire(std::shared_ptr<void> Object) {
  Retired.push_back(std::move(Object));
}

int event_loop::waitMillis() const {
  duration Wait = MaxWait;
  if (const auto Due = Timers.nextDue())
    Wait = std::min(Wait, *Due - common::boot_clock::now());
  if (Wait <= duration::zero())
    return 0;
  return static_cast<int>(
      std::chrono::ceil<std::chrono::milliseconds>(Wait).count());
}

void event_loop::dispatch(uint64_t Tag, uint32_t Events) {
  const int Descriptor = static_cast<int>(Tag & 0xffffffffU);
  const auto Found = Watched.find(Descriptor);
  if (Found == Watched.end() || Found->second.Generation != (Tag >> 32U))
    return;
  const std::shared_ptr<ready_hook> Hook = Found->second.Hook;
  (*Hook)(Events);
}

void event_loop::destroyRetired() {
  // Destructors may retire further objects.
  while (!Retired.empty()) {
    std::vector<std::shared_ptr<void>> Batch;
    Batch.swap(Retired);
  }
}

void event_loop::runRound() {
  std::array<epoll_event, MaxEventsPerRound> Events{};
  const int Count = epoll_wait(EpollDescriptor, Events.data(),
                               MaxEventsPerRound, waitMillis());
  Now = common::boot_clock::now();
  for (int Index = 0; Index < Count; ++Index) {
    const epoll_event &Event = Events.at(static_cast<size_t>(Index));
    dispatch(Event.data.u64, Event.events);
  }
  Timers.advance(Now);
  destroyRetired();
}

void event_loop::run() {
  Now = common::boot_clock::now();
  while (!Stopping)
    runRound();
}

bool event_loop::runUntil(const std::function<bool()> &Done, duration Limit) {
  Now = common::boot_clock::now();
  const boot_time End = Now + Limit;
  // The timer does nothing; it only ends the wait for events at the limit.
  const timer_id Timeout = callAfter(Limit, [] {});
  while (!Done() && Now < End)
    runRound();
  cancel(Timeout);
  return Done();
}

} // namespace magnolia::event
