#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>
#include <absl/types/span.h>

#include "Placement/TargetEntry.h"

namespace magnolia::fleet {

using common::boot_time;
using duration = common::boot_clock::duration;

/// What an instance knows of a registered one.
enum class member_state : uint8_t {
  /// It takes requests.
  Active,
  /// It said that it takes none.
  Inactive,
  /// It was not heard for long, and may run or not.
  Silent,
};

/// An instance that may send to cold targets.
struct fleet_member {
  std::string Name;
  std::string FailureDomain;
  member_state State = member_state::Active;
};

/// How the requests to a cold target are shared out.
struct cold_settings {
  /// Instances that send to one cold target: this many, and in addition one for
  /// each PerSender requests per second that it takes.
  size_t MinSenders = 4;
  double PerSender = 4;
  /// Time from which on an instance sends that takes the place of another, so
  /// that the requests of both do not fall into one second.
  duration Handover = std::chrono::seconds(1);
};

/// Which of \p Members send to a cold target.
struct cold_senders {
  /// Indices of the senders.
  std::vector<size_t> Members;
  /// Requests per second of each of them.
  double PerSecond = 0;
};

/// Chooses the senders to a cold target that takes \p PerSecond requests per
/// second from the whole fleet. Instances of the target's failure domain come
/// first. All instances that know the same members choose the same senders. An
/// instance that hears more than half of the fleet replaces silent senders;
/// others rely on the registrations alone, and each sender takes half while
/// there may be two for one place.
cold_senders chooseColdSenders(absl::Span<const fleet_member> Members,
                               placement::target_key Target,
                               std::string_view FailureDomain, double PerSecond,
                               const cold_settings &Settings);

/// The requests of this instance to targets that are cold: each takes few
/// requests per second from the whole fleet, and fails when it gets far more.
/// Few instances, the same in the view of all, send to one cold target, and
/// one after the other at even distances; so the bound holds without messages.
/// Load pattern: all targets of a failure domain become cold at one moment and
/// all instances press, some of them cut off from the others. Reads no clock;
/// not thread-safe.
class cold_targets {
public:
  cold_targets(const cold_settings &Settings, std::string OwnName)
      : Settings(Settings), OwnName(std::move(OwnName)) {}

  /// Replaces the known instances, this one included; none while they are
  /// unknown: then this instance sends nothing to cold targets.
  void setMembers(std::vector<fleet_member> Known, boot_time Now);

  struct cold_target {
    placement::target_key Key = 0;
    std::string FailureDomain;
    /// Requests per second that it takes from the whole fleet, above zero.
    double PerSecond = 0;
  };

  /// Records that \p Target is cold, or that its bound or the members changed.
  /// Returns whether it was not cold before.
  bool put(const cold_target &Target, boot_time Now);

  /// Records that a target is warm or gone. Returns whether it was cold before.
  bool remove(placement::target_key Target);

  /// Forgets all targets but those of \p Keys.
  void keepOnly(const absl::flat_hash_set<placement::target_key> &Keys);

  /// When \p Target takes the next request of this instance, if known now: the
  /// present or past if at once, none if other instances send to it. Now for a
  /// target that is not cold.
  std::optional<boot_time> nextUse(placement::target_key Target,
                                   boot_time Now) const;

  /// Counts a request that is chosen for \p Target or sent to it.
  void countUse(placement::target_key Target, boot_time Now);

  /// The fraction of the known instances that send to \p Target; one if it is
  /// not cold.
  double senderFraction(placement::target_key Target) const;

  /// Number of cold targets.
  size_t size() const { return Targets.size(); }

private:
  struct share {
    /// Zero if this instance is no sender.
    double PerSecond = 0;
    double SenderFraction = 1;
    boot_time UsableFrom;
    boot_time LastUse;
  };

  const cold_settings Settings;
  const std::string OwnName;
  std::vector<fleet_member> Members;
  std::optional<boot_time> MembersSince;
  absl::flat_hash_map<placement::target_key, share> Targets;
};

} // namespace magnolia::fleet
