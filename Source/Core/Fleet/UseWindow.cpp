#include "Fleet/UseWindow.h"

#include <algorithm>
#include <cmath>
#include <limits>

#include <absl/strings/str_cat.h>

#include "Common/Digest.h"

namespace magnolia::fleet {
namespace {

/// This instance's part of \p Uses, as a whole number. A fraction counts as one
/// in as many report times as it says, so that a fleet with more instances than
/// uses can use them too.
double ownPart(const use_settings &Settings, uint32_t Key, double Uses,
               const fleet_part &Fleet, boot_time Now) {
  const double Part =
      std::max(Uses, 0.0) / static_cast<double>(Fleet.Instances);
  const double Whole = std::floor(Part);
  const int64_t Period = Now.time_since_epoch() / Settings.ReportTime;
  const auto Drawn = static_cast<double>(
      common::stableHash(absl::StrCat(Key, "/", Period), Settings.Instance));
  const bool RoundsUp =
      Drawn < (Part - Whole) *
                  static_cast<double>(std::numeric_limits<uint64_t>::max());
  return Whole + (RoundsUp ? 1 : 0);
}

} // namespace

double use_window::usedAt(const use_settings &Settings, boot_time Now) const {
  return Uses.sumAt(Settings.Window, Now);
}

void use_window::chargePeers(const use_settings &Settings, double PeerUses,
                             boot_time Now) {
  Uses.add(Settings.Window, PeerUses, Now);
}

use_decision use_window::decide(const use_settings &Settings, uint32_t Key,
                                double Bound, const fleet_part &Fleet,
                                boot_time Now) const {
  use_decision Decision;
  Decision.Used = usedAt(Settings, Now);
  Decision.Bound = Bound;
  Decision.Unreported = static_cast<size_t>(
      std::count_if(Unreported.begin(), Unreported.end(), [&](boot_time At) {
        return Now - At < Settings.ReportTime;
      }));
  const auto Own = static_cast<double>(Decision.Unreported);
  Decision.OwnPart =
      ownPart(Settings, Key, Bound - Decision.Used + Own, Fleet, Now);
  Decision.Granted = Decision.Used + 1 <= Bound && Own + 1 <= Decision.OwnPart;
  return Decision;
}

use_decision use_window::tryUse(const use_settings &Settings, uint32_t Key,
                                double Bound, const fleet_part &Fleet,
                                boot_time Now) {
  while (!Unreported.empty() && Now - Unreported.front() >= Settings.ReportTime)
    Unreported.pop_front();
  const use_decision Decision = decide(Settings, Key, Bound, Fleet, Now);
  if (Decision.Granted) {
    Uses.add(Settings.Window, 1, Now);
    Unreported.push_back(Now);
  }
  return Decision;
}

} // namespace magnolia::fleet
