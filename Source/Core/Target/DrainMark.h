#pragma once

#include <cstdint>

namespace magnolia::target {

/// What is known of whether a target is leaving. Marks from answers, peers and
/// the manifest are merged; the newer one stands, so that stale gossip neither
/// revives a target nor drains it again.
struct drain_mark {
  /// Start of the target's process as it reports it; zero where unknown.
  uint64_t Incarnation = 0;
  /// Counts changes that were seen within one incarnation.
  uint64_t Sequence = 0;
  bool Draining = false;

  /// Takes \p Other over if it is newer; returns whether this changed. Of two
  /// marks of one age the one that drains stands.
  bool merge(const drain_mark &Other);

  /// What the target itself said just now, in an answer whose request began
  /// after this mark was taken. Returns whether this changed.
  bool report(bool IsDraining, uint64_t ReportedIncarnation);

  /// What an answer said whose request began before this mark was taken: it
  /// may drain, or speak for a newer incarnation, but never revive.
  bool reportLate(bool IsDraining, uint64_t ReportedIncarnation);

  friend bool operator==(const drain_mark &, const drain_mark &) = default;
};

} // namespace magnolia::target
