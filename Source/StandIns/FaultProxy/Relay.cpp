#include "StandIns/FaultProxy/Relay.h"

#include <algorithm>
#include <array>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include <absl/strings/str_cat.h>
#include <absl/synchronization/notification.h>

namespace magnolia::stand_ins {
namespace {

using common::boot_clock;

/// What an epoll event speaks of stands in the two low bits of its tag.
enum class source : uint64_t { Caller, Listener, Accept, Wake };

constexpr uint64_t SourceBits = 2;
constexpr uint64_t SourceMask = 3;
constexpr int EventBatch = 256;
constexpr int LongestWaitMs = 1000;

uint64_t tagOf(uint64_t Id, source Source) {
  return Id << SourceBits | static_cast<uint64_t>(Source);
}

void addToEpoll(int Epoll, int Descriptor, uint32_t Events, uint64_t Tag) {
  epoll_event Event{};
  Event.events = Events;
  Event.data.u64 = Tag;
  ::epoll_ctl(Epoll, EPOLL_CTL_ADD, Descriptor, &Event);
}

} // namespace

relay::relay()
    : Epoll(::epoll_create1(EPOLL_CLOEXEC)),
      Wake(::eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC)) {
  addToEpoll(Epoll, Wake, EPOLLIN, tagOf(0, source::Wake));
}

absl::StatusOr<std::unique_ptr<relay>>
relay::start(const std::vector<link_settings> &Links) {
  std::unique_ptr<relay> Relay(new relay);
  for (const link_settings &Settings : Links) {
    const absl::Status Status = Relay->addLink(Settings);
    if (!Status.ok())
      return Status;
  }
  Relay->Thread = std::thread([Relay = Relay.get()] { Relay->run(); });
  return Relay;
}

relay::~relay() {
  if (Thread.joinable()) {
    {
      const absl::MutexLock Lock(&Mutex);
      Stopping = true;
    }
    ::eventfd_write(Wake, 1);
    Thread.join();
  }
  ::close(Wake);
  ::close(Epoll);
}

absl::Status relay::addLink(const link_settings &Settings) {
  link Link{Settings, Settings.Listen, 0, {}};
  auto Listener = listenOn(Settings.Listen);
  if (!Listener.ok())
    return Listener.status();
  Link.Listener = *std::move(Listener);
  Link.Port = portOf(Link.Listener);
  // Listening again after a refusal takes the same port.
  const std::string Host =
      Settings.Listen.substr(0, Settings.Listen.rfind(':'));
  Link.Address = absl::StrCat(Host, ":", Link.Port);
  addToEpoll(Epoll, Link.Listener.get(), EPOLLIN,
             tagOf(Links.size(), source::Accept));
  Links.push_back(std::move(Link));
  return absl::OkStatus();
}

void relay::run() {
  std::array<epoll_event, EventBatch> Events;
  while (true) {
    const int Count =
        ::epoll_wait(Epoll, Events.data(), EventBatch, waitTime());
    for (int Index = 0; Index < Count; ++Index)
      handle(Events.at(static_cast<size_t>(Index)).data.u64,
             Events.at(static_cast<size_t>(Index)).events);
    fireAlarms();
    runCommands();
    const absl::MutexLock Lock(&Mutex);
    if (Stopping)
      return;
  }
}

int relay::waitTime() const {
  if (Alarms.empty())
    return LongestWaitMs;
  const auto Left = std::chrono::ceil<std::chrono::milliseconds>(
      Alarms.top().When - boot_clock::now());
  return static_cast<int>(std::clamp<int64_t>(Left.count(), 0, LongestWaitMs));
}

void relay::runCommands() {
  std::vector<std::function<void()>> Taken;
  {
    const absl::MutexLock Lock(&Mutex);
    Taken.swap(Commands);
  }
  for (const auto &Command : Taken)
    Command();
}

void relay::runOnLoop(std::function<void()> Command) {
  absl::Notification Done;
  {
    const absl::MutexLock Lock(&Mutex);
    Commands.push_back([&] {
      Command();
      Done.Notify();
    });
  }
  ::eventfd_write(Wake, 1);
  Done.WaitForNotification();
}

void relay::handle(uint64_t Tag, uint32_t Events) {
  const uint64_t Id = Tag >> SourceBits;
  const auto Source = static_cast<source>(Tag & SourceMask);
  if (Source == source::Wake) {
    eventfd_t Value = 0;
    ::eventfd_read(Wake, &Value);
    return;
  }
  if (Source == source::Accept) {
    acceptAll(Id);
    return;
  }
  const auto Found = Pairs.find(Id);
  if (Found == Pairs.end())
    return;
  pair &Pair = *Found->second;
  const bool Readable = (Events & (EPOLLIN | EPOLLHUP | EPOLLERR)) != 0;
  if (Readable && Source == source::Caller && Pair.Up.wantsRead())
    moveUp(Pair);
  else if (Readable && Source == source::Listener && Pair.Down.wantsRead())
    moveDown(Pair);
  else if ((Events & (EPOLLHUP | EPOLLERR)) != 0)
    close(Id, true);
  else
    flush(Pair);
}

void relay::acceptAll(size_t Index) {
  link &Link = Links[Index];
  if (Link.Settings.Faults.Freeze)
    return;
  while (true) {
    socket_handle Caller = acceptOn(Link.Listener);
    if (!Caller.isOpen())
      return;
    auto Listener = startConnect(Link.Settings.Forward);
    if (!Listener.ok()) {
      Caller.abort();
      continue;
    }
    const int Left = Caller.get();
    const int Right = Listener->get();
    const uint64_t Id = NextId++;
    auto Pair = std::make_unique<pair>(
        pair{Id, Index, std::move(Caller), *std::move(Listener),
             flow(Left, Right), flow(Right, Left)});
    watch(*Pair);
    Pairs.emplace(Id, std::move(Pair));
  }
}

void relay::moveUp(pair &Pair) {
  const link_faults &Faults = Links[Pair.Link].Settings.Faults;
  const auto Now = boot_clock::now();
  if (Pair.Up.receive(Now, Faults.DelayUp, Faults.CutUp) ==
      flow::result::Failed) {
    close(Pair.Id, true);
    return;
  }
  flush(Pair);
}

void relay::moveDown(pair &Pair) {
  const link_faults &Faults = Links[Pair.Link].Settings.Faults;
  const auto Now = boot_clock::now();
  if (Pair.Down.receive(Now, Faults.DelayDown, Faults.CutDown) ==
      flow::result::Failed) {
    close(Pair.Id, true);
    return;
  }
  if (Faults.DropReplies && Pair.Down.hasReceived()) {
    close(Pair.Id, false);
    return;
  }
  flush(Pair);
}

void relay::flush(pair &Pair) {
  if (Links[Pair.Link].Settings.Faults.Freeze) {
    watch(Pair);
    return;
  }
  const auto Now = boot_clock::now();
  const bool Failed = Pair.Up.flush(Now) == flow::result::Failed ||
                      Pair.Down.flush(Now) == flow::result::Failed;
  if (Failed || (Pair.Up.isDone() && Pair.Down.isDone())) {
    close(Pair.Id, Failed);
    return;
  }
  for (const flow *Flow : {&Pair.Up, &Pair.Down})
    if (const auto Due = Flow->nextDue())
      Alarms.push({*Due, Pair.Id});
  watch(Pair);
}

void relay::fireAlarms() {
  const auto Now = boot_clock::now();
  while (!Alarms.empty() && Alarms.top().When <= Now) {
    const uint64_t Id = Alarms.top().Id;
    Alarms.pop();
    const auto Found = Pairs.find(Id);
    if (Found != Pairs.end())
      flush(*Found->second);
  }
}

void relay::watch(pair &Pair) {
  uint32_t Caller = 0;
  uint32_t Listener = 0;
  if (!Links[Pair.Link].Settings.Faults.Freeze) {
    Caller |= Pair.Up.wantsRead() ? EPOLLIN : 0U;
    Caller |= Pair.Down.wantsWrite() ? EPOLLOUT : 0U;
    Listener |= Pair.Down.wantsRead() ? EPOLLIN : 0U;
    Listener |= Pair.Up.wantsWrite() ? EPOLLOUT : 0U;
  }
  watchSide(Pair.Caller.get(), Caller, Pair.CallerEvents,
            tagOf(Pair.Id, source::Caller));
  watchSide(Pair.Listener.get(), Listener, Pair.ListenerEvents,
            tagOf(Pair.Id, source::Listener));
}

void relay::watchSide(int Descriptor, uint32_t Wanted, uint32_t &Current,
                      uint64_t Tag) const {
  if (Wanted == Current)
    return;
  epoll_event Event{};
  Event.events = Wanted;
  Event.data.u64 = Tag;
  // A descriptor without events would still report that its peer hung up.
  int Operation = EPOLL_CTL_MOD;
  if (Current == 0)
    Operation = EPOLL_CTL_ADD;
  else if (Wanted == 0)
    Operation = EPOLL_CTL_DEL;
  ::epoll_ctl(Epoll, Operation, Descriptor, &Event);
  Current = Wanted;
}

void relay::close(uint64_t Id, bool Abort) {
  const auto Found = Pairs.find(Id);
  if (Found == Pairs.end())
    return;
  if (Abort) {
    Found->second->Caller.abort();
    Found->second->Listener.abort();
  }
  Pairs.erase(Found);
}

void relay::forEachPair(size_t Link,
                        const std::function<void(pair &)> &Function) {
  std::vector<uint64_t> Ids;
  for (const auto &[Id, Pair] : Pairs)
    if (Pair->Link == Link)
      Ids.push_back(Id);
  for (const uint64_t Id : Ids)
    Function(*Pairs.at(Id));
}

void relay::setListening(link &Link, size_t Index) {
  if (Link.Settings.Faults.Refuse) {
    Link.Listener.reset();
    return;
  }
  if (Link.Listener.isOpen())
    return;
  auto Listener = listenOn(Link.Address);
  if (!Listener.ok())
    return;
  Link.Listener = *std::move(Listener);
  addToEpoll(Epoll, Link.Listener.get(), EPOLLIN, tagOf(Index, source::Accept));
}

void relay::setFaults(link &Link, size_t Index, const link_command &Command) {
  Link.Settings.Faults = Command.Faults;
  if (!Command.Forward.empty())
    Link.Settings.Forward = Command.Forward;
  setListening(Link, Index);
  if (Command.Reset)
    forEachPair(Index, [this](pair &Pair) { close(Pair.Id, true); });
  forEachPair(Index, [this](pair &Pair) { flush(Pair); });
  if (Link.Listener.isOpen())
    acceptAll(Index);
}

absl::Status relay::change(const std::string &Name, std::string_view Json) {
  absl::Status Status = absl::NotFoundError("no link " + Name);
  runOnLoop([&] {
    for (size_t Index = 0; Index < Links.size(); ++Index) {
      link &Link = Links[Index];
      if (Link.Settings.Name != Name)
        continue;
      link_command Command;
      Command.Faults = Link.Settings.Faults;
      Status = applyJson(Json, Command);
      if (Status.ok())
        setFaults(Link, Index, Command);
    }
  });
  return Status;
}

std::vector<relay::link_state> relay::links() {
  std::vector<link_state> States;
  runOnLoop([&] {
    for (const link &Link : Links)
      States.push_back({Link.Settings.Name, Link.Port, Link.Settings.Faults});
    for (const auto &[Id, Pair] : Pairs)
      ++States[Pair->Link].Connections;
  });
  return States;
}

} // namespace magnolia::stand_ins
