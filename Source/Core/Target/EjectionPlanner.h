#pragma once

#include <string>
#include <string_view>
#include <vector>

#include <absl/container/flat_hash_map.h>
#include <absl/types/span.h>

#include "Target/Settings.h"

namespace magnolia::target {

/// A target that the planner may eject.
struct ejection_candidate {
  std::string_view Name;
  uint32_t Slots = 0;
  /// Neither draining nor removed.
  bool Live = true;
  /// The fleet's verdict; the larger the score, the worse.
  bool Bad = false;
  double Score = 0;
};

/// Number of slots that may be unused at once: the fraction \p Floor of
/// \p LiveSlots, rounded up, stays in use.
uint32_t ejectableSlots(uint32_t LiveSlots, double Floor);

/// Decides for the fleet which targets of one service are ejected. Used only by
/// the holder of the service's floor lease. A decision counts against the floor
/// until it can no longer be in force on any instance: an ejection that is no
/// longer published frees its slots after the term it was published for.
class ejection_planner {
public:
  explicit ejection_planner(const settings &Settings) : Settings(Settings) {}

  /// Decides on the targets that are ejected from \p Now until \p Now +
  /// \p Term: first those whose ejection may still be in force, then new ones,
  /// each group worst first. Ties go to the target that comes first in
  /// \p Targets.
  std::vector<std::string> publish(absl::Span<const ejection_candidate> Targets,
                                   double Floor, duration Term, boot_time Now);

  /// Discards all decisions; for use after the lease has ended.
  void clear() { Entries.clear(); }

private:
  struct entry {
    /// Until when the decision may be in force on an instance.
    boot_time InForceUntil;
    /// End of the target's back-off.
    boot_time EjectedUntil;
    duration BackOff{0};
  };

  void dropExpired(boot_time Now);
  bool shouldEject(const ejection_candidate &Target, boot_time Now);

  settings Settings;
  absl::flat_hash_map<std::string, entry> Entries;
};

} // namespace magnolia::target
