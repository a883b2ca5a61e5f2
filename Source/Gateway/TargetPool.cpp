#include "Gateway/TargetPool.h"

#include <algorithm>

namespace magnolia::gateway {
namespace {

using message::client_connection;

/// Connections are closed this much earlier, because a target may close exactly
/// at its timeout.
constexpr std::chrono::milliseconds IdleMargin{1000};

} // namespace

bool target_pool::expired(const client_connection &Connection) const {
  const auto Advertised = Connection.serverIdleTimeout();
  const duration Limit =
      Advertised ? *Advertised - IdleMargin : Settings.IdleTimeout;
  return Loop.now() - Connection.lastUsed() >= Limit;
}

std::shared_ptr<client_connection>
target_pool::take(const placement::target_ref &Target) {
  const auto Found = Idle.find(Target);
  if (Found == Idle.end())
    return nullptr;
  std::shared_ptr<client_connection> Taken;
  while (!Taken && !Found->second.empty()) {
    const auto Connection = Found->second.back();
    Found->second.pop_back();
    if (!expired(*Connection) && Connection->reusable())
      Taken = Connection;
    else
      Connection->close();
  }
  Target->IdleConnections = static_cast<uint32_t>(Found->second.size());
  if (Found->second.empty())
    Idle.erase(Found);
  return Taken;
}

void target_pool::release(const placement::target_ref &Target,
                          std::shared_ptr<client_connection> Connection) {
  const bool Useful =
      Connection->reusable() && !Target->Removed && Target->isAvailable();
  if (!Useful) {
    Connection->close();
    Loop.retire(std::move(Connection));
    return;
  }
  message::client_hooks Hooks;
  Hooks.OnIdleEnd = [this, Target, Raw = Connection.get()] {
    drop(Target, Raw);
  };
  Connection->setHooks(std::move(Hooks));
  Idle[Target].push_back(std::move(Connection));
  ++Target->IdleConnections;
}

void target_pool::drop(const placement::target_ref &Target,
                       const client_connection *Connection) {
  const auto Found = Idle.find(Target);
  if (Found == Idle.end())
    return;
  connections &Kept = Found->second;
  const auto Position =
      std::find_if(Kept.begin(), Kept.end(), [&](const auto &Entry) {
        return Entry.get() == Connection;
      });
  if (Position == Kept.end())
    return;
  (*Position)->close();
  Loop.retire(*Position);
  Kept.erase(Position);
  Target->IdleConnections = static_cast<uint32_t>(Kept.size());
  if (Kept.empty())
    Idle.erase(Found);
}

void target_pool::sweep() {
  std::vector<std::pair<placement::target_ref, client_connection *>> Expired;
  for (const auto &[Target, Kept] : Idle)
    for (const auto &Connection : Kept)
      if (Target->Removed || !Target->isAvailable() || expired(*Connection))
        Expired.emplace_back(Target, Connection.get());
  for (const auto &[Target, Connection] : Expired)
    drop(Target, Connection);
}

size_t target_pool::idle() const {
  size_t Count = 0;
  for (const auto &[Target, Kept] : Idle)
    Count += Kept.size();
  return Count;
}

} // namespace magnolia::gateway
