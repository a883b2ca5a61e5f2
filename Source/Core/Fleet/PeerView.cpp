#include "Fleet/PeerView.h"

#include <algorithm>

namespace magnolia::fleet {

void peer_view::addRegistered(const instance_identity &Identity) {
  if (Identity.Name == OwnName)
    return;
  peer &Peer = Peers[Identity.Name];
  if (Peer.Boot == 0)
    Peer.Identity = Identity;
}

void peer_view::apply(const hello_message &Hello, boot_time Now) {
  if (Hello.Boot == OwnBoot || Hello.Identity.Name == OwnName)
    return;
  peer &Peer = Peers[Hello.Identity.Name];
  const bool Restarted = Peer.Boot != Hello.Boot;
  if (Restarted) {
    NameByBoot.erase(Peer.Boot);
    Peer = peer();
    Peer.Boot = Hello.Boot;
    Peer.StartedEarlier = Now - Hello.Uptime < Started;
    NameByBoot[Hello.Boot] = Hello.Identity.Name;
  }
  Peer.Identity = Hello.Identity;
  Peer.State = Hello.State;
  Peer.LastReceived = Now;
  if (Restarted && Hooks.OnAppeared)
    Hooks.OnAppeared(Peer);
}

peer *peer_view::byBoot(uint64_t Boot) {
  const auto Name = NameByBoot.find(Boot);
  if (Name == NameByBoot.end())
    return nullptr;
  const auto Found = Peers.find(Name->second);
  return Found == Peers.end() ? nullptr : &Found->second;
}

bool peer_view::apply(const update_message &Update, boot_time Now) {
  if (Update.Boot == OwnBoot)
    return true;
  peer *Peer = byBoot(Update.Boot);
  if (Peer == nullptr)
    return false;
  // A peer that was unreachable used only its own part of the rates.
  const bool Charged = isReachable(*Peer, Now);
  // One that was forwarded late, for example by an instance that was paused,
  // says nothing of the present.
  const bool Late = Update.Number != 0 && Update.Number <= Peer->LastUpdate;
  if (!Late) {
    Peer->LastReceived = Now;
    Peer->LastUpdate = Update.Number;
    Peer->State = Update.State;
    Peer->Reading = Update.Reading;
    if (isStated(Update.Tables))
      Peer->Tables = Update.Tables;
  }
  for (const workspace_total &Total : Update.Workspaces)
    applyWorkspaceTotal(*Peer, Total, Charged);
  for (const service_total &Total : Update.Services)
    applyServiceTotal(*Peer, Total, Charged);
  for (const limit_report &Report : Update.Limits)
    applyLimit(*Peer, Report, Charged);
  for (const suspect_report &Report : Update.Suspects)
    Hooks.OnSuspect(Report);
  applyEvents(*Peer, Update.FirstEvent, Update.Events);
  if (!Late)
    Hooks.OnUpdate(*Peer, Update);
  return true;
}

bool peer_view::apply(const events_message &Events) {
  if (Events.Boot == OwnBoot)
    return true;
  peer *Peer = byBoot(Events.Boot);
  if (Peer == nullptr)
    return false;
  // LastReceived stays: events carry no totals, and the time of the last update
  // decides whether the next totals count.
  applyEvents(*Peer, Events.First, Events.Events);
  return true;
}

void peer_view::applyEvents(peer &Peer, uint64_t First,
                            absl::Span<const target_event> Events) {
  for (size_t Index = 0; Index < Events.size(); ++Index) {
    const uint64_t Number = First + Index;
    if (Number < Peer.NextEvent)
      continue;
    Peer.NextEvent = Number + 1;
    Hooks.OnEvent(Events[Index]);
  }
}

void peer_view::applyWorkspaceTotal(peer &Peer, const workspace_total &Total,
                                    bool Charged) {
  const auto [Found, First] =
      Peer.Workspaces.try_emplace(Total.Key, workspace_total{Total.Key, 0});
  workspace_total &Known = Found->second;
  if (Total.Requests <= Known.Requests)
    return;
  const uint64_t Used = Total.Requests - Known.Requests;
  Known = Total;
  if (First && Peer.StartedEarlier)
    Hooks.OnEarlierUse(Total.Key, Used);
  else if (Charged)
    Hooks.OnWorkspaceUse(Total.Key, Used);
}

void peer_view::applyServiceTotal(peer &Peer, const service_total &Total,
                                  bool Charged) {
  const auto [Found, First] =
      Peer.Services.try_emplace(Total.Key, service_total{Total.Key, 0, 0, 0});
  service_total &Known = Found->second;
  // A message that arrives after a later one has lower totals.
  if (Total.Requests < Known.Requests ||
      Total.ExtraAttempts < Known.ExtraAttempts ||
      Total.Failed < Known.Failed || Total.SecondSends < Known.SecondSends ||
      Total.TimedSends < Known.TimedSends || Total.LateSends < Known.LateSends)
    return;
  const service_total Growth = {Total.Key,
                                Total.Requests - Known.Requests,
                                Total.ExtraAttempts - Known.ExtraAttempts,
                                Total.Failed - Known.Failed,
                                Total.SecondSends - Known.SecondSends,
                                Total.TimedSends - Known.TimedSends,
                                Total.LateSends - Known.LateSends};
  Known = Total;
  // The first total of a peer that started earlier covers its whole run.
  if (Charged && !(First && Peer.StartedEarlier))
    Hooks.OnServiceUse(Growth);
}

void peer_view::applyLimit(peer &Peer, const limit_report &Report,
                           bool Charged) {
  const auto [Found, First] =
      Peer.LimitedRequests.try_emplace(Report.Target, 0);
  uint64_t &Known = Found->second;
  // A message that arrives after a later one has a lower total.
  if (Report.Requests < Known)
    return;
  const uint64_t Growth = Report.Requests - Known;
  Known = Report.Requests;
  const bool IsRecent = Charged && !(First && Peer.StartedEarlier);
  Hooks.OnLimit(Report, IsRecent ? Growth : 0);
}

size_t peer_view::reachableCount(boot_time Now) const {
  return static_cast<size_t>(
      std::count_if(Peers.begin(), Peers.end(), [&](const auto &Entry) {
        return isReachable(Entry.second, Now);
      }));
}

bool peer_view::othersReadSteadily(boot_time Now) const {
  size_t Readers = 0;
  size_t SteadyReaders = 0;
  for (const auto &[Name, Peer] : Peers) {
    if (!isReachable(Peer, Now) || Peer.Reading == reading_state::NotReading)
      continue;
    if (Peer.Reading == reading_state::LongSteady &&
        Now - Peer.LastReceived < Settings.LongSteadyMaxAge)
      return true;
    ++Readers;
    if (isSteady(Peer.Reading))
      ++SteadyReaders;
  }
  return Readers > 0 && SteadyReaders * 2 >= Readers;
}

double peer_view::reachableFraction(boot_time Now) const {
  const auto Known = static_cast<double>(Peers.size() + 1);
  return static_cast<double>(reachableCount(Now) + 1) / Known;
}

} // namespace magnolia::fleet
