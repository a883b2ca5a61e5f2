#include "Admission/ShutdownPlan.h"

#include <algorithm>

namespace magnolia::admission {
namespace {

/// No request is ended for others before the last sixth of the grace time.
constexpr int LastPart = 6;
/// shutdown_settings::ExitBefore is at most an eighth of the grace time.
constexpr int ExitPart = 8;
/// The last third of that time is left to the end of the process.
constexpr int ProcessEndPart = 3;
/// Until the first bytes of a response have reached a caller.
constexpr std::chrono::milliseconds FirstBytes{250};

duration secondsOf(double Seconds) {
  return std::chrono::duration_cast<duration>(
      std::chrono::duration<double>(Seconds));
}

} // namespace

bool shutdown_plan::refuses(duration Now, duration RespondBy) const {
  return Now >= Settings.AcceptAllPeriod && RespondBy > endsAllAt();
}

duration shutdown_plan::stopsListeningAt() const {
  return Settings.Grace - Settings.StopListeningBefore;
}

duration shutdown_plan::endsBlockingAt(const blocked_responses &Blocked,
                                       size_t AllBytes) const {
  const duration Earliest = Settings.Grace - Settings.Grace / LastPart;
  const duration Latest = endsAllAt() - timeToSend(Blocked.Bytes, AllBytes);
  return std::max(Earliest, Latest);
}

duration shutdown_plan::endsAllAt() const {
  return Settings.Grace -
         std::min(Settings.ExitBefore, Settings.Grace / ExitPart);
}

duration shutdown_plan::exitsAt() const {
  return Settings.Grace - (Settings.Grace - endsAllAt()) / ProcessEndPart;
}

duration shutdown_plan::timeToSend(size_t Bytes, size_t AllBytes) const {
  double Seconds = static_cast<double>(Bytes) / Settings.CallerBandwidth;
  if (Bandwidth > 0)
    Seconds = std::max(Seconds, static_cast<double>(AllBytes) / Bandwidth);
  return FirstBytes + secondsOf(Seconds);
}

} // namespace magnolia::admission
