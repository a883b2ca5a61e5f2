#include "FollowerFleet.h"

namespace magnolia::platform {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

constexpr milliseconds TickInterval(100);
constexpr milliseconds CallTimeout(3000);
constexpr milliseconds MaxDelay(20);

} // namespace

follower_fleet::follower_fleet(size_t Count, uint64_t Seed)
    : Random(Seed),
      Platform({[this] { return Now; }, [](microseconds) {}, nullptr}),
      Services(Platform.bind()), Now(std::chrono::hours(1)), Instances(Count) {
  for (size_t Index = 0; Index < Count; ++Index)
    Instances[Index].Name = std::to_string(Index);
  for (size_t Index = 0; Index < Count; ++Index)
    start(Index, allExcept(Index));
}

void follower_fleet::start(size_t Index, const std::vector<size_t> &Peers) {
  instance &Instance = Instances[Index];
  ++Instance.Incarnation;
  Instance.Highest = 0;
  Instance.Waiting.clear();
  follower_hooks Hooks;
  Hooks.Random = [this] { return Random(); };
  Hooks.Send = [this, Index](const std::string &To,
                             const config_message &Message) {
    send(Index, To, Message);
  };
  Hooks.Apply = [this, Index](const contract::snapshot_ptr &Snapshot) {
    uint64_t &Highest = Instances[Index].Highest;
    Reverts += Snapshot->version() <= Highest ? 1 : 0;
    Highest = std::max(Highest, Snapshot->version());
  };
  Hooks.PollHead = [this, Index](uint64_t Poll) {
    callPlatform(Index, [this, Poll](bool Reached) -> reply {
      const absl::StatusOr<row> Row = Reached
                                          ? Services.Table.Get(ConfigHeadKey)
                                          : absl::UnavailableError("cut");
      const absl::StatusOr<config_head> Head =
          Row.ok() ? decodeHead(*Row) : Row.status();
      return [this, Poll, Head](config_follower &Follower) {
        Follower.onHead(Now, Poll, Head);
      };
    });
  };
  Hooks.FetchObject = [this, Index](uint64_t Attempt,
                                    const std::string &Digest) {
    callPlatform(Index, [this, Attempt, Digest](bool Reached) -> reply {
      const absl::StatusOr<std::string> Bytes =
          Reached ? Services.Objects.Get(Digest)
                  : absl::UnavailableError("cut");
      return [this, Attempt, Bytes](config_follower &Follower) {
        Follower.onObject(Now, Attempt, Bytes);
      };
    });
  };
  follower_settings Settings;
  // Small, so that a fetch from a peer takes several messages.
  Settings.ChunkBytes = 64;
  Instance.Follower = std::make_unique<config_follower>(Settings, Hooks);
  setPeers(Index, Peers);
}

std::vector<size_t> follower_fleet::allExcept(size_t Index) const {
  std::vector<size_t> Others;
  Others.reserve(Instances.size());
  for (size_t Other = 0; Other < Instances.size(); ++Other)
    if (Other != Index)
      Others.push_back(Other);
  return Others;
}

void follower_fleet::setPeers(size_t Instance,
                              const std::vector<size_t> &Peers) {
  std::vector<std::string> Names;
  Names.reserve(Peers.size());
  for (const size_t Peer : Peers)
    Names.push_back(std::to_string(Peer));
  Instances[Instance].Follower->setPeers(std::move(Names));
}

microseconds follower_fleet::delay() {
  return microseconds(Random() %
                      static_cast<uint64_t>(microseconds(MaxDelay).count()));
}

void follower_fleet::schedule(microseconds Delay, std::function<void()> Event) {
  Events.emplace(Now + Delay, std::move(Event));
}

void follower_fleet::deliver(size_t Index, uint64_t Incarnation, reply Event) {
  instance &Instance = Instances[Index];
  if (Instance.Incarnation != Incarnation)
    return;
  if (Instance.Paused)
    Instance.Waiting.push_back([this, Index, Event = std::move(Event)] {
      Event(*Instances[Index].Follower);
    });
  else
    Event(*Instance.Follower);
}

void follower_fleet::callPlatform(
    size_t Index, const std::function<reply(bool Reached)> &Call) {
  const bool Cut = Instances[Index].PlatformCut;
  const uint64_t Incarnation = Instances[Index].Incarnation;
  schedule(Cut ? microseconds(CallTimeout) : delay(), [=, this] {
    schedule(delay(), [=, this, Reply = Call(!Cut)] {
      deliver(Index, Incarnation, Reply);
    });
  });
}

void follower_fleet::send(size_t From, const std::string &To,
                          const config_message &Message) {
  const size_t Index = std::stoul(To);
  const std::string Bytes = encode(Message);
  ++Messages;
  MessageBytes += Bytes.size();
  if (Instances[From].CutTo.contains(Index) || Random() % 1000 < LossPerMille)
    return;
  const uint64_t Incarnation = Instances[Index].Incarnation;
  schedule(delay(), [=, this] {
    deliver(Index, Incarnation, [=, this](config_follower &Follower) {
      Follower.onMessage(Now, std::to_string(From),
                         *decodeConfigMessage(Bytes));
    });
  });
}

void follower_fleet::runFor(milliseconds Duration) {
  const time End = Now + Duration;
  while (Now < End) {
    const time Tick = Now + TickInterval;
    while (!Events.empty() && Events.begin()->first <= Tick) {
      auto Event = Events.extract(Events.begin());
      Now = std::max(Now, Event.key());
      Event.mapped()();
    }
    Now = Tick;
    for (instance &Instance : Instances)
      if (!Instance.Paused)
        Instance.Follower->advance(Now);
  }
}

void follower_fleet::cutLink(size_t From, size_t To, bool Cut) {
  if (Cut)
    Instances[From].CutTo.insert(To);
  else
    Instances[From].CutTo.erase(To);
}

void follower_fleet::cutFromPeers(size_t Instance, bool Cut) {
  for (size_t Other = 0; Other < Instances.size(); ++Other) {
    cutLink(Instance, Other, Cut);
    cutLink(Other, Instance, Cut);
  }
}

void follower_fleet::cutFromPlatform(size_t Instance, bool Cut) {
  Instances[Instance].PlatformCut = Cut;
}

void follower_fleet::pause(size_t Index, bool Paused) {
  instance &Instance = Instances[Index];
  Instance.Paused = Paused;
  if (Paused)
    return;
  for (const auto &Event : std::exchange(Instance.Waiting, {}))
    Event();
}

void follower_fleet::restart(size_t Index) { start(Index, allExcept(Index)); }

void follower_fleet::restart(size_t Index, const std::vector<size_t> &Peers) {
  start(Index, Peers);
}

uint64_t follower_fleet::change() {
  config_store_hooks Hooks;
  Hooks.Sleep = [](milliseconds) {};
  change_request Request;
  Request.Actor = "operator";
  Request.Action = "apply";
  Request.Edit = [](contract::configuration &Configuration) {
    Configuration.Manifest.Workspaces = {
        {"clubs", static_cast<double>(Configuration.Version + 1), 1}};
    return absl::OkStatus();
  };
  const auto Outcome = config_store(Services, Hooks).change(Request);
  if (!Outcome.ok())
    return 0;
  Accepted.emplace(Outcome->Version, Now);
  return Outcome->Version;
}

uint64_t follower_fleet::versionOf(size_t Instance) const {
  const auto &Current = Instances[Instance].Follower->current();
  return Current ? Current->version() : 0;
}

bool follower_fleet::servesKeyed(size_t Instance) const {
  return Now <= Instances[Instance].Follower->keyedUntil();
}

bool follower_fleet::allHave(uint64_t Version) const {
  for (size_t Index = 0; Index < Instances.size(); ++Index)
    if (!Instances[Index].Paused && versionOf(Index) != Version)
      return false;
  return true;
}

} // namespace magnolia::platform
