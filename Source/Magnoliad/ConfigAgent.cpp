#include "Magnoliad/ConfigAgent.h"

#include "Common/Log.h"
#include "Platform/ConfigMessage.h"
#include "Platform/ConfigStore.h"

namespace magnolia::daemon {
namespace {

using common::boot_clock;
using common::boot_time;

platform::follower_settings followerSettings(const settings &Settings) {
  platform::follower_settings Follower;
  Follower.Freshness.StaleAfter = Settings.Follow.StaleAfter;
  Follower.PollInterval = Settings.Follow.PollPeriod;
  Follower.QueryInterval = Settings.Follow.HeartbeatPeriod;
  Follower.PollTimeout = 2 * Settings.Follow.PlatformTimeout;
  return Follower;
}

} // namespace

config_agent::config_agent(const settings &Settings,
                           platform::services Services, background &Background,
                           peer_messenger &Messenger, apply_hook Apply)
    : StaleAfter(Settings.Follow.StaleAfter), Services(std::move(Services)),
      Background(Background), Messenger(Messenger), Apply(std::move(Apply)),
      Random(std::random_device{}()),
      Follower(followerSettings(Settings), makeHooks()) {
  Messenger.subscribe(platform::ConfigMessageType,
                      [this](const std::string &From, std::string_view Body) {
                        receive(From, Body);
                      });
}

platform::follower_hooks config_agent::makeHooks() {
  platform::follower_hooks Hooks;
  Hooks.PollHead = [this](uint64_t Poll) { pollHead(Poll); };
  Hooks.FetchObject = [this](uint64_t Attempt, const std::string &Digest) {
    fetchObject(Attempt, Digest);
  };
  Hooks.Send = [this](const std::string &Peer,
                      const platform::config_message &Message) {
    Messenger.send(Peer, platform::ConfigMessageType,
                   platform::encode(Message));
  };
  Hooks.Apply = [this](const contract::snapshot_ptr &Snapshot) {
    Current.store(Snapshot);
    Apply(Snapshot);
    common::log(common::log_level::Info, "Config", "configuration in force",
                {{"version", std::to_string(Snapshot->version())}});
  };
  // The follower is only called with the lock held.
  Hooks.Random = [this]() ABSL_NO_THREAD_SAFETY_ANALYSIS { return Random(); };
  return Hooks;
}

template <typename Function> void config_agent::withFollower(Function &&Fn) {
  const absl::MutexLock Lock(&Mutex);
  Fn(Follower);
  KeyedUntil.store(Follower.keyedUntil());
}

void config_agent::pollHead(uint64_t Poll) {
  Background.run([this, Poll] {
    const auto Head = platform::config_store(Services).readHead();
    withFollower([&](platform::config_follower &Locked) {
      Locked.onHead(boot_clock::now(), Poll, Head);
    });
  });
}

void config_agent::fetchObject(uint64_t Attempt, const std::string &Digest) {
  Background.run([this, Attempt, Digest] {
    const auto Bytes = Services.Objects.Get(Digest);
    withFollower([&](platform::config_follower &Locked) {
      Locked.onObject(boot_clock::now(), Attempt, Bytes);
    });
  });
}

void config_agent::receive(const std::string &From, std::string_view Body) {
  const auto Message = platform::decodeConfigMessage(Body);
  if (!Message.ok())
    return;
  withFollower([&](platform::config_follower &Locked) {
    Locked.onMessage(boot_clock::now(), From, *Message);
  });
}

void config_agent::advance(boot_time Now) {
  withFollower([&](platform::config_follower &Locked) { Locked.advance(Now); });
}

void config_agent::setPeers(std::vector<std::string> Peers) {
  withFollower([&](platform::config_follower &Locked) {
    Locked.setPeers(std::move(Peers));
  });
}

uint64_t config_agent::version() const {
  const contract::snapshot_ptr Snapshot = snapshot();
  return Snapshot ? Snapshot->version() : 0;
}

platform::follower_counters config_agent::counters() {
  const absl::MutexLock Lock(&Mutex);
  return Follower.counters();
}

} // namespace magnolia::daemon
