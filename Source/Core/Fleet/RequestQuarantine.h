#pragma once

#include <array>
#include <deque>
#include <map>
#include <optional>
#include <vector>

#include <absl/container/flat_hash_map.h>

#include "Fleet/FleetMessage.h"

namespace magnolia::fleet {

/// When a request is quarantined.
struct quarantine_settings {
  /// Targets that ended one after the other while they ran it.
  size_t EndedTargets = 3;
  /// How long it is not sent to targets; doubles with each further one.
  duration FirstTerm = std::chrono::minutes(2);
  duration MaxTerm = std::chrono::hours(1);
  /// How long a target that ended is remembered.
  duration MemoryTime = std::chrono::minutes(10);
  /// A target that ends this soon after another one has completed the request
  /// has another cause.
  duration InnocentTime = std::chrono::seconds(10);
  /// The same run can seem to be this much later in the report of a peer.
  duration ReportDelay = std::chrono::seconds(1);
  /// Remembered requests; the one that has been without a loss for longest is
  /// forgotten first.
  size_t MaxRequests = 4096;
  /// Requests in one update to peers.
  size_t MaxReported = 8;
  /// Completed requests that are remembered for InnocentTime, since a peer may
  /// report later that a target ended under one of them.
  size_t MaxCompleted = 4096;
};

/// Requests under which targets end, over the whole fleet. A request that ends
/// each target that runs it looks like any other that lost its connection, and
/// its caller sends it again; so it is recognized by its fingerprint and, after
/// some targets, sent to no further one. Other requests that were at the same
/// targets must not be taken for it: losses that overlap in time count once,
/// since targets that end at the same moment have a common cause, and a request
/// that any target has completed is innocent. Load pattern: a few in a hundred
/// look-ups of a service end their target for seconds, and come again at any
/// instance; also at all instances at once, so that it ends each target of a
/// service at the same moment, and again when they are back. Reads no clock;
/// not thread-safe.
class request_quarantine {
public:
  explicit request_quarantine(const quarantine_settings &Settings)
      : Settings(Settings) {}

  /// Records that a target ended while it ran a request of \p Fingerprint.
  /// Returns whether the request is quarantined by that.
  bool recordEnded(uint64_t Fingerprint, const ended_run &Run, boot_time Now);

  /// Records that a target completed a request of \p Fingerprint. Returns
  /// whether that ends a quarantine.
  bool recordCompleted(uint64_t Fingerprint, boot_time Now);

  /// Applies what a peer recorded.
  void apply(const suspect_report &Report, boot_time Now);

  /// Quarantines a request as read from the store.
  void restore(uint64_t Fingerprint, boot_time Until, boot_time Now);

  /// The end of the quarantine of \p Fingerprint, if it must not be sent now.
  std::optional<boot_time> quarantinedUntil(uint64_t Fingerprint,
                                            boot_time Now) const;

  /// Targets that ended one after the other under \p Fingerprint.
  size_t endedTargets(uint64_t Fingerprint) const;

  /// What peers must know: what changed since the last call for \p Audience,
  /// and with \p Everything the quarantined requests again.
  std::vector<suspect_report> collectReports(audience Audience, bool Everything,
                                             boot_time Now);

  /// Forgets what is long ago.
  void advance(boot_time Now);

  bool contains(uint64_t Fingerprint) const {
    return Suspects.contains(Fingerprint);
  }
  bool empty() const { return Suspects.empty(); }
  size_t size() const { return Suspects.size(); }
  /// Number of requests that must not be sent now.
  size_t quarantinedCount(boot_time Now) const;

private:
  struct suspect {
    /// By their end.
    std::vector<ended_run> Runs;
    boot_time CompletedAt;
    /// From the store.
    boot_time RestoredUntil;
    boot_time LastChange;
    std::array<bool, AudienceCount> Changed{};
  };

  /// Adds a run; false if it is known or has another cause.
  bool add(suspect &Suspect, const ended_run &Run) const;
  bool isInnocent(const suspect &Suspect, const ended_run &Run) const;
  /// Records a completion; false if a later one is known.
  bool complete(suspect &Suspect, boot_time CompletedAt) const;
  void rememberCompleted(uint64_t Fingerprint, boot_time Now);
  /// The most runs of which none overlaps another, by their end.
  static std::vector<const ended_run *> successiveRuns(const suspect &Suspect);
  /// Whether \p Run of \p Suspect is one of these.
  static bool counts(const suspect &Suspect, const ended_run &Run);
  boot_time quarantineEnd(const suspect &Suspect) const;
  suspect &suspectOf(uint64_t Fingerprint, boot_time Now);
  void forgetOldest();
  static suspect_report reportOf(uint64_t Fingerprint, const suspect &Suspect,
                                 boot_time Now);

  const quarantine_settings Settings;
  absl::flat_hash_map<uint64_t, suspect> Suspects;
  /// When this instance last saw requests completed, and these in order.
  absl::flat_hash_map<uint64_t, boot_time> Completed;
  std::deque<std::pair<boot_time, uint64_t>> CompletedOrder;
  /// Where the last full report ended.
  uint64_t ReportedUpTo = 0;
};

} // namespace magnolia::fleet
