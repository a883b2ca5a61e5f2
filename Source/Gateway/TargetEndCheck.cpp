#include "Gateway/TargetEndCheck.h"

namespace magnolia::gateway {
namespace {

/// When a target ends, its other connections end with it; if one of them still
/// lives after this time, so does the target.
constexpr std::chrono::milliseconds SettleTime{10};

} // namespace

void target_end_check::check(const placement::target_ref &Target,
                             ended_hook OnEnded) {
  pending_check &Check = Pending[Target];
  Check.Hooks.push_back(std::move(OnEnded));
  if (Check.Hooks.size() > 1)
    return;
  Check.Timer =
      Loop.callAfter(SettleTime, [this, Target] { tryConnection(Target); });
}

void target_end_check::tryConnection(const placement::target_ref &Target) {
  const auto Connection =
      Target->IdleConnections > 0 ? nullptr : Connect(*Target);
  if (!Connection) {
    finish(Target, false);
    return;
  }
  message::client_hooks Hooks;
  Hooks.OnConnected = [this, Target] { finish(Target, false); };
  Hooks.OnConnectFailed = [this, Target] { finish(Target, true); };
  Connection->setHooks(std::move(Hooks));
  pending_check &Check = Pending[Target];
  Check.Connection = Connection;
  // Without an answer it may be the path that is broken.
  Check.Timer =
      Loop.callAfter(ConnectTimeout, [this, Target] { finish(Target, false); });
}

void target_end_check::finish(const placement::target_ref &Target, bool Ended) {
  const auto Found = Pending.find(Target);
  if (Found == Pending.end())
    return;
  const pending_check Check = std::move(Found->second);
  Pending.erase(Found);
  Loop.cancel(Check.Timer);
  if (Check.Connection) {
    Check.Connection->setHooks({});
    if (Check.Connection->isConnected()) {
      Pool.release(Target, Check.Connection);
    } else {
      Check.Connection->close();
      Loop.retire(Check.Connection);
    }
  }
  if (Ended)
    for (const ended_hook &OnEnded : Check.Hooks)
      OnEnded();
}

} // namespace magnolia::gateway
