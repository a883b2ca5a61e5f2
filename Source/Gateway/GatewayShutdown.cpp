#include <algorithm>

#include "Common/Log.h"
#include "Gateway/Gateway.h"

namespace magnolia::gateway {
namespace {

constexpr std::chrono::milliseconds ShutdownCheckPeriod{50};
constexpr double BytesPerKbit = 125;

} // namespace

void gateway::beginShutdown() {
  if (ShuttingDown)
    return;
  ShuttingDown = true;
  ShutdownStarted = Loop.now();
  common::log(common::log_level::Info, "Gateway", "leaving");
  Fleet->announce();
  scheduleShutdown();
}

admission::shutdown_plan gateway::shutdownPlan() const {
  return {Settings.Shutdown,
          Settings.Identity.Strength.LinkKbits * BytesPerKbit};
}

bool gateway::mustReject(boot_time RespondBy) const {
  return ShuttingDown && shutdownPlan().refuses(Loop.now() - ShutdownStarted,
                                                RespondBy - ShutdownStarted);
}

void gateway::continueShutdown() {
  const admission::shutdown_plan Plan = shutdownPlan();
  const duration Elapsed = Loop.now() - ShutdownStarted;
  if (Elapsed >= Plan.stopsListeningAt()) {
    CallerServer->stopListening();
    CallerServer->closeIdleConnections();
  }
  const bool Served =
      CallerServer->pendingRequests() == 0 && CallerServer->unsentBytes() == 0;
  const bool Idle = Elapsed >= Plan.stopsListeningAt() && Served &&
                    CallerServer->connections() == 0;
  if (Idle || (Elapsed >= Plan.endsAllAt() && Served) ||
      Elapsed >= Plan.exitsAt()) {
    logExit(Elapsed);
    Loop.stop();
    return;
  }
  CallerServer->endBlocking(
      [&](const admission::blocked_responses &Blocked, size_t AllBytes) {
        return Elapsed >= Plan.endsBlockingAt(Blocked, AllBytes);
      });
  if (Elapsed >= Plan.endsAllAt())
    CallerServer->endUnanswered();
  scheduleShutdown();
}

void gateway::scheduleShutdown() {
  const admission::shutdown_plan Plan = shutdownPlan();
  duration Wait = ShutdownCheckPeriod;
  for (const duration Step : {Plan.endsAllAt(), Plan.exitsAt()}) {
    const duration Left = ShutdownStarted + Step - Loop.now();
    if (Left > duration::zero())
      Wait = std::min(Wait, Left);
  }
  Loop.callAfter(Wait, [this] { continueShutdown(); });
}

void gateway::logExit(duration Elapsed) const {
  common::log(
      common::log_level::Info, "Gateway", "exits",
      {{"after_ms",
        std::chrono::duration_cast<std::chrono::milliseconds>(Elapsed).count()},
       {"requests", CallerServer->pendingRequests()},
       {"unsent_bytes", CallerServer->unsentBytes()},
       {"connections", CallerServer->connections()}});
}

} // namespace magnolia::gateway
