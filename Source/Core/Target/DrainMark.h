#pragma once

#include <cstdint>

namespace magnolia::target {

/// Versioned drain state of a target. Marks from responses, peers and the
/// manifest are merged and the newer one wins, so that outdated reports from
/// peers neither revive a target nor drain it again.
struct drain_mark {
  /// Start of the target's process as it reports it; zero where unknown.
  uint64_t Incarnation = 0;
  /// Number of changes seen within one incarnation.
  uint64_t Sequence = 0;
  bool Draining = false;

  /// Adopts \p Other if it is newer; returns whether this changed. Of two marks
  /// of the same age, the draining one wins.
  bool merge(const drain_mark &Other);

  /// Applies what the target itself reported in a response whose request began
  /// after this mark was last updated. Returns whether this changed.
  bool report(bool IsDraining, uint64_t ReportedIncarnation);

  /// Applies a response whose request began before this mark was last updated:
  /// it may drain the target or report a newer incarnation, but never revive
  /// the same one.
  bool reportLate(bool IsDraining, uint64_t ReportedIncarnation);

  friend bool operator==(const drain_mark &, const drain_mark &) = default;
};

} // namespace magnolia::target
