#include "Common/TimerService.h"

#include <algorithm>

#include <absl/time/time.h>

namespace magnolia::common {
namespace {

/// Longest sleep of a timer_thread, which bounds how long its stop takes.
constexpr std::chrono::milliseconds MaxSleep{20};

} // namespace

timer_service::subscription
timer_service::subscribeEvery(boot_time First, boot_clock::duration Period,
                              callback Callback) {
  return add(First, std::max(Period, boot_clock::duration(1)),
             std::move(Callback));
}

timer_service::subscription timer_service::subscribeOnce(boot_time When,
                                                         callback Callback) {
  return add(When, boot_clock::duration::zero(), std::move(Callback));
}

timer_service::subscription timer_service::add(boot_time Due,
                                               boot_clock::duration Period,
                                               callback Callback) {
  const absl::MutexLock Lock(&Mutex);
  const subscription Id = NextId++;
  Entries.emplace(Id, entry{std::move(Callback), Period, Due});
  Queue.emplace(Due, Id);
  Changed.SignalAll();
  return Id;
}

void timer_service::cancel(subscription Id) {
  const absl::MutexLock Lock(&Mutex);
  Entries.erase(Id);
}

std::optional<timer_service::callback> timer_service::takeDue(boot_time Now) {
  const absl::MutexLock Lock(&Mutex);
  while (!Queue.empty() && Queue.begin()->first <= Now) {
    const subscription Id = Queue.begin()->second;
    Queue.erase(Queue.begin());
    const auto Found = Entries.find(Id);
    if (Found == Entries.end())
      continue;
    entry &Entry = Found->second;
    if (Entry.Period == boot_clock::duration::zero()) {
      callback Callback = std::move(Entry.Callback);
      Entries.erase(Found);
      return Callback;
    }
    const auto Missed = (Now - Entry.Due) / Entry.Period;
    Entry.Due += Entry.Period * (Missed + 1);
    Queue.emplace(Entry.Due, Id);
    return Entry.Callback;
  }
  return std::nullopt;
}

void timer_service::advance(boot_time Now) {
  while (auto Callback = takeDue(Now))
    (*Callback)(Now);
}

std::optional<boot_time> timer_service::nextDue() const {
  const absl::MutexLock Lock(&Mutex);
  if (Queue.empty())
    return std::nullopt;
  return Queue.begin()->first;
}

void timer_service::awaitChange(boot_clock::duration Timeout) const {
  const absl::MutexLock Lock(&Mutex);
  Changed.WaitWithTimeout(&Mutex, absl::FromChrono(Timeout));
}

timer_thread::timer_thread(timer_service &Service)
    : Service(Service), Thread([this] { run(); }) {}

timer_thread::~timer_thread() {
  {
    const absl::MutexLock Lock(&Mutex);
    Stopping = true;
  }
  Thread.join();
}

void timer_thread::run() {
  while (true) {
    {
      const absl::MutexLock Lock(&Mutex);
      if (Stopping)
        return;
    }
    const boot_time Now = boot_clock::now();
    Service.advance(Now);
    const boot_clock::duration UntilDue =
        Service.nextDue().value_or(Now + MaxSleep) - boot_clock::now();
    const auto Sleep = std::min<boot_clock::duration>(UntilDue, MaxSleep);
    if (Sleep > boot_clock::duration::zero())
      Service.awaitChange(Sleep);
  }
}

} // namespace magnolia::common
