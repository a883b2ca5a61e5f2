#pragma once

#include <string>
#include <string_view>
#include <vector>

#include <absl/container/flat_hash_map.h>
#include <absl/types/span.h>

#include "Target/Settings.h"

namespace magnolia::target {

/// A target as the ledger sees it.
struct ejection_candidate {
  std::string_view Name;
  uint32_t Slots = 0;
  /// Neither draining nor removed.
  bool Live = true;
  /// The fleet's verdict; the larger the score, the worse.
  bool Bad = false;
  double Score = 0;
};

/// Slots that may be out of use at once: of \p LiveSlots, the part \p Floor
/// rounded up stays.
uint32_t ejectableSlots(uint32_t LiveSlots, double Floor);

/// Decides for a whole fleet which targets of one service are ejected. Only
/// the holder of the service's floor lease uses it. A decision counts against
/// the floor until it can no longer be in force anywhere: an ejection that is
/// no longer published frees its slots after the term it was published for.
class ejection_planner {
public:
  explicit ejection_planner(const settings &Settings) : Settings(Settings) {}

  /// The targets that are ejected from \p Now until \p Now + \p Term, worst
  /// first. Targets in front of \p Targets win ties.
  std::vector<std::string> publish(absl::Span<const ejection_candidate> Targets,
                                   double Floor, duration Term, boot_time Now);

  /// Forgets everything; for a ledger whose lease has ended.
  void clear() { Entries.clear(); }

private:
  struct entry {
    /// Until when an instance may still obey the decision.
    boot_time InForceUntil;
    /// Until when the target rests.
    boot_time EjectedUntil;
    duration BackOff{0};
  };

  void dropExpired(boot_time Now);
  bool shouldEject(const ejection_candidate &Target, boot_time Now);

  settings Settings;
  absl::flat_hash_map<std::string, entry> Entries;
};

} // namespace magnolia::target
