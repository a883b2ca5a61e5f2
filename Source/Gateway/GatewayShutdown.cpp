#include "Common/Log.h"
#include "Gateway/Gateway.h"

namespace magnolia::gateway {
namespace {

constexpr std::chrono::milliseconds ShutdownCheckPeriod{50};

} // namespace

void gateway::beginShutdown() {
  if (ShuttingDown)
    return;
  ShuttingDown = true;
  ShutdownStarted = Loop.now();
  common::log(common::log_level::Info, "Gateway", "leaving");
  Fleet->announce();
  Loop.callEvery(ShutdownCheckPeriod, [this] { continueShutdown(); });
}

bool gateway::mustReject(boot_time RespondBy) const {
  const shutdown_settings &Shutdown = Settings.Shutdown;
  if (!ShuttingDown || Loop.now() - ShutdownStarted < Shutdown.AcceptAllPeriod)
    return false;
  return RespondBy > ShutdownStarted + Shutdown.Grace - Shutdown.ExitBefore;
}

void gateway::continueShutdown() {
  const shutdown_settings &Shutdown = Settings.Shutdown;
  const duration Left = Shutdown.Grace - (Loop.now() - ShutdownStarted);
  if (Left <= Shutdown.StopListeningBefore) {
    CallerServer->stopListening();
    CallerServer->closeIdleConnections();
    if (CallerServer->pendingRequests() == 0 &&
        CallerServer->connections() == 0)
      Loop.stop();
  }
  if (Left <= Shutdown.ExitBefore)
    Loop.stop();
}

} // namespace magnolia::gateway
