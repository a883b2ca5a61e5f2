#pragma once

#include <array>
#include <optional>
#include <vector>

#include <absl/container/flat_hash_map.h>

#include "Fleet/FleetMessage.h"
#include "Fleet/UseWindow.h"

namespace magnolia::fleet {

/// How the limits of targets are kept.
struct limit_settings {
  duration Window = std::chrono::seconds(4);
  /// As in use_settings.
  duration ReportTime = std::chrono::milliseconds(750);
  /// A target with a lower limit gets this many requests per second, so that it
  /// is noticed when the limit ends.
  double MinPerSecond = 0.25;
  /// A limit that was not said again for this long has ended: the target is
  /// probably gone.
  duration MaxAge = std::chrono::minutes(10);
  /// How long it is remembered that a limit has ended, so that an earlier
  /// statement of a peer does not renew it.
  duration EndedMaxAge = std::chrono::seconds(30);
};

/// The limits that targets name in their responses: the requests per second
/// that they take from the whole fleet, for as long as they say so. What is
/// left of a limit is divided among the instances as in use_window. Load
/// pattern: an overloaded target answers all requests and names a limit far
/// below what the instances send it together. Reads no clock; not thread-safe.
class target_limits {
public:
  /// \p Instance: a number that differs between the instances.
  target_limits(const limit_settings &Settings, uint64_t Instance)
      : Settings(Settings), Uses{Settings.Window, Settings.ReportTime,
                                 Instance} {}

  /// Records what \p Target said in a response at \p SaidAt: its limit in
  /// requests per second, or that it has none. The latest statement counts.
  /// Returns whether the limit changed.
  bool state(placement::target_key Target, std::optional<double> PerSecond,
             boot_time SaidAt);

  /// The same as reported by a peer, with the requests that it sent since its
  /// last report. Returns whether the limit changed.
  bool statePeer(const limit_report &Report, uint64_t Growth, boot_time Now);

  /// The limit of \p Target, if it has one.
  std::optional<double> limitOf(placement::target_key Target) const;

  /// The targets that take no request of this instance now.
  std::vector<placement::target_key> exhausted(const fleet_part &Fleet,
                                               boot_time Now) const;

  /// Counts a request to \p Target if it has a limit; false if that is used up.
  bool tryUse(placement::target_key Target, const fleet_part &Fleet,
              boot_time Now);

  /// What changed at this instance since the last call for \p Audience, or all
  /// that targets said to it if \p Everything.
  std::vector<limit_report> collectReports(audience Audience, bool Everything,
                                           boot_time Now);

  /// Forgets limits that have ended for long.
  void advance(boot_time Now);

  /// Number of targets with a limit.
  size_t limitedCount() const;

private:
  struct limit {
    std::optional<double> PerSecond;
    boot_time SaidAt;
    /// The target said it to this instance, not to a peer alone.
    bool Heard = false;
    use_window Requests;
    uint64_t OwnRequests = 0;
    std::array<bool, AudienceCount> Changed{};
  };

  /// Requests that are allowed in the window.
  double boundOf(const limit &Limit) const;

  const limit_settings Settings;
  const use_settings Uses;
  absl::flat_hash_map<placement::target_key, limit> Limits;
};

} // namespace magnolia::fleet
