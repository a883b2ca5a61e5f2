#pragma once

#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include <absl/container/flat_hash_map.h>
#include <absl/random/bit_gen_ref.h>
#include <absl/types/span.h>

#include "Placement/GrayEstimator.h"
#include "Placement/TargetEntry.h"

namespace magnolia::placement {

/// What the choice of a target weighs, in parts of a request's worth.
struct placement_settings {
  gray_estimator_settings FleetEstimator;
  /// The same for the path from one instance to a target.
  gray_estimator_settings PathEstimator{0.02, std::chrono::milliseconds(3000)};
  /// The part of the prior risk that a target counts with of which no instance
  /// has seen anything yet and to which no request is on its way: it must be
  /// tried once to be of use.
  double UntriedRiskFactor = 0.2;
  /// Sending to another failure domain, where bytes are dear: a request and its
  /// answer of some kilobytes cost about a tenth of what it is worth.
  double OtherDomainCost = 0.24;
  /// Opening a connection.
  double NewConnectionCost = 0.04;
  /// For the part of a target's slots that is in use.
  double UtilizationCost = 0.02;
  /// Above this part requests begin to wait there: how many are in use now is
  /// known only as of the last news.
  double BusyUtilization = 0.4;
  /// For each part of the slots above that.
  double BusyCost = 0.4;
  /// A target gets a request at least this often, so that what is known of it
  /// stays new and no part of the capacity stays out for good.
  duration ProbeInterval = std::chrono::milliseconds(800);
  /// One of another failure domain gets one only after this time: instances
  /// there test it more cheaply.
  duration OtherDomainProbeInterval = std::chrono::milliseconds(1600);
  /// One that is more likely gray than this is left out of that: a test costs a
  /// request.
  double MaxProbeRisk = 0.35;
  /// While more than this share of the service's requests fail, which may come
  /// from leaving too much of its capacity out, one that failed is left out for
  /// this time at most.
  double EarlyProbeFailedFraction = 0.07;
  duration EarlyProbeDelay = std::chrono::milliseconds(6000);
  /// The same if more than so many targets are left out and more than this
  /// share fails.
  size_t UrgentProbeExcluded = 12;
  double UrgentProbeFailedFraction = 0.1;
  duration UrgentProbeDelay = std::chrono::milliseconds(2500);
  /// Differences in cost far below this decide nothing, so that instances with
  /// the same news do not all choose the same target. Less, and load gathers on
  /// the targets with the newest proof.
  double CostTemperature = 0.04;
};

/// A target as one instance sees it.
class target {
public:
  target(target_entry Entry, const placement_settings &Settings,
         episode_length &Length)
      : Entry(std::move(Entry)), Fleet(Settings.FleetEstimator, &Length),
        Path(Settings.PathEstimator) {}

  target_entry Entry;
  target_key Key = 0;
  /// From all instances' evidence.
  gray_estimator Fleet;
  /// From what only this instance's connections showed.
  gray_estimator Path;
  boot_time AddedAt;
  /// When any instance last sent it a request, as far as is known.
  boot_time LastUsed;
  uint32_t OwnInFlight = 0;
  /// Connections of this instance that are idle.
  uint32_t IdleConnections = 0;
  bool Removed = false;

  struct peer_count {
    uint32_t InFlight = 0;
    boot_time ReportedAt;
  };
  absl::flat_hash_map<uint64_t, peer_count> Peers;
};

using target_ref = std::shared_ptr<target>;

/// What is asked of a choice.
struct placement_query {
  std::string_view Service;
  bool Repeatable = false;
  /// Targets that this request was sent to already.
  absl::Span<const target_key> Tried;
  /// Requests a second of the service over the fleet, and the part of them that
  /// fails.
  double Rate = 0;
  double FailedFraction = 0;
};

/// All targets with the evidence of each. Free of clocks; not thread-safe.
class target_set {
public:
  target_set(const placement_settings &Settings, std::string FailureDomain)
      : Settings(Settings), FailureDomain(std::move(FailureDomain)) {}

  /// A target's entry is new or has changed.
  void put(const target_entry &Entry, boot_time Now);

  /// The target is gone; requests there go on.
  void remove(std::string_view Id);

  /// The target for a request, or null when no target may be used. Chooses by
  /// the expected cost of each: the risk that it is gray or unreachable from
  /// here, waiting there, bytes between failure domains, a new connection.
  target_ref choose(const placement_query &Query, boot_time Now,
                    absl::BitGenRef Random) const;

  /// Evidence of this instance's own attempt.
  void observe(target &Target, evidence Evidence, boot_time SentAt,
               boot_time Now);

  /// Evidence of which it is not clear yet whether it is the target's fault:
  /// this instance stays away for a moment.
  static void observePath(target &Target, evidence Evidence, boot_time SentAt,
                          boot_time Now);

  /// Evidence that another instance saw.
  void observePeer(target_key Key, evidence Evidence, boot_time SentAt,
                   boot_time Now);

  /// Requests that \p Peer has running, by target; others count as none.
  struct in_flight {
    target_key Key = 0;
    uint32_t Count = 0;
  };
  void setPeerInFlight(uint64_t Peer, absl::Span<const in_flight> Counts,
                       boot_time Now);

  /// This instance's requests in flight, where there are any.
  std::vector<in_flight> ownInFlight() const;

  /// Calls \p Visit for each target.
  template <typename Visitor> void forEach(Visitor &&Visit) const {
    for (const auto &[Id, Target] : ById)
      Visit(*Target);
  }

  size_t size() const { return ById.size(); }
  size_t sizeOf(std::string_view Service) const;
  target_ref find(std::string_view Id) const;

  /// All targets of \p Service.
  const std::vector<target_ref> &targetsOf(std::string_view Service) const;

  /// Whether \p Target has more requests than it runs at the same time, as far
  /// as is known: the last ones wait there.
  bool isOverCapacity(const target &Target, boot_time Now) const;

  /// The expected cost of sending a request to \p Target.
  double costOf(const target &Target, const placement_query &Query,
                boot_time Now) const;

private:
  bool isUsable(const target &Target, const placement_query &Query) const;
  /// How long a target that is taken to be gray is left out after its last
  /// failure; without end while few requests fail, since the belief returns.
  duration pauseAfterFailure(double FailedFraction, size_t Excluded) const;
  std::vector<target_ref> dueForProbe(const placement_query &Query,
                                      boot_time Now) const;
  bool isProbeDue(const target &Target, boot_time Now) const;
  /// Requests a second that should go to \p Due from the whole fleet, as far as
  /// this instance has to care for them.
  double wantedProbeRate(absl::Span<const target_ref> Due) const;
  target_ref chooseProbed(const placement_query &Query, boot_time Now,
                          absl::BitGenRef Random) const;
  uint32_t inFlightAt(const target &Target, boot_time Now) const;

  const placement_settings Settings;
  const std::string FailureDomain;
  /// Each target of this board points to it.
  const std::unique_ptr<episode_length> Length =
      std::make_unique<episode_length>();
  absl::flat_hash_map<std::string, target_ref> ById;
  absl::flat_hash_map<target_key, target_ref> ByKey;
  absl::flat_hash_map<std::string, std::vector<target_ref>> ByService;
};

} // namespace magnolia::placement
