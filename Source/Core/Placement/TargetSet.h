#pragma once

#include <algorithm>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>
#include <absl/random/bit_gen_ref.h>
#include <absl/types/span.h>

#include "Placement/GrayEstimator.h"
#include "Placement/HomeRegions.h"
#include "Placement/PreferredTargets.h"
#include "Placement/ProbeDivision.h"
#include "Placement/ServiceRoom.h"
#include "Placement/TargetEntry.h"
#include "Placement/ToldLoad.h"

namespace magnolia::placement {

/// Costs and probe intervals for the choice of a target. Costs are fractions of
/// the value of a request.
struct placement_settings {
  gray_estimator_settings FleetEstimator;
  /// The same for the network path from one instance to a target.
  gray_estimator_settings PathEstimator{0.02, std::chrono::milliseconds(3000)};
  /// Factor on the prior risk of a target without evidence from any instance
  /// and without a request in flight: it must be tried once to become usable.
  double UntriedRiskFactor = 0.2;
  /// Cost of sending to another failure domain, where traffic is expensive: a
  /// request and its response of some kilobytes cost about a tenth of the value
  /// of the request.
  double OtherDomainCost = 0.24;
  /// Cost of opening a connection.
  double NewConnectionCost = 0.04;
  /// Cost per fraction of a target's slots in use.
  double UtilizationCost = 0.02;
  /// Fraction of the slots in use above which requests may queue at the target,
  /// since the use by other instances is known only as of their last update.
  double BusyUtilization = 0.4;
  /// Additional cost per fraction of the slots above that.
  double BusyCost = 0.4;
  /// A target without a request for this long is probed, so that its state
  /// stays known and no capacity stays unused for good.
  duration ProbeInterval = std::chrono::milliseconds(800);
  /// The same interval for targets in another failure domain, which the
  /// instances there probe more cheaply.
  duration OtherDomainProbeInterval = std::chrono::milliseconds(1600);
  /// Targets with at least this probability of being gray are excluded from
  /// probes, since a probe may cost a request.
  double MaxProbeRisk = 0.35;
  /// While at least this fraction of the service's requests fails, which may be
  /// caused by excluding too much of its capacity, a target that failed is
  /// excluded for at most this time.
  double EarlyProbeFailedFraction = 0.07;
  duration EarlyProbeDelay = std::chrono::milliseconds(6000);
  /// The same for repeatable requests, which are sent again if the probe shows
  /// that the target is still gray; counted from the last known request to the
  /// target, since a target that hangs is seen to fail much later.
  double RepeatableProbeFailedFraction = 0.05;
  duration RepeatableProbeInterval = std::chrono::milliseconds(1500);
  /// The same from UrgentProbeFailedFraction on.
  duration UrgentRepeatableProbeInterval = std::chrono::milliseconds(1200);
  /// The same for a target that responded to its last probe: it has probably
  /// recovered, and some more responses make it usable.
  duration RecoveringProbeInterval = std::chrono::milliseconds(300);
  /// The same while more than this number of targets is excluded and at least
  /// this fraction of the requests fails.
  size_t UrgentProbeExcluded = 12;
  double UrgentProbeFailedFraction = 0.1;
  duration UrgentProbeDelay = std::chrono::milliseconds(2500);
  /// Temperature of the softmax choice: differences in cost far below it have
  /// no effect, so that instances with the same evidence do not all choose the
  /// same target. A lower value concentrates load on the targets with the most
  /// recent success.
  double CostTemperature = 0.04;
  /// With more instances for each slot of the targets of a service than this,
  /// its targets are divided among them: the own count of requests in flight to
  /// a busy target is zero in 31 of 32 cases.
  size_t MaxInstancesPerSlot = 32;
  /// Where the targets are divided, those whose cost, their load aside, is
  /// this close to the lowest one count as equally good: it is what the risk of
  /// a target grows by in some seconds without evidence.
  double HealthMargin = 0.1;
};

/// A target from the point of view of one instance.
class target {
public:
  target(target_entry Entry, const placement_settings &Settings,
         gray_pattern &Pattern)
      : Entry(std::move(Entry)), Fleet(Settings.FleetEstimator, &Pattern),
        Path(Settings.PathEstimator) {}

  target_entry Entry;
  target_key Key = 0;
  /// Estimate from the evidence of all instances.
  gray_estimator Fleet;
  /// Estimate from the connections of this instance alone.
  gray_estimator Path;
  /// When the report in its entry was first read.
  boot_time ReportedAt;
  /// When it is warm, by its responses.
  boot_time SaidWarmFrom;
  /// The fraction of the instances that send to it while it is cold.
  double SenderFraction = 1;
  /// Time of the last known request from any instance.
  boot_time LastUsed;
  /// When this instance last failed to connect to it.
  boot_time LastUnreachable;
  uint32_t OwnInFlight = 0;
  /// What it tells of its load.
  load_estimate Load;
  /// It told a load that makes no sense, which was logged.
  bool InvalidLoadLogged = false;
  /// Idle connections of this instance.
  uint32_t IdleConnections = 0;
  bool Removed = false;
  /// It said so in a response, to this instance or to a peer.
  bool SaidDraining = false;
  /// Its failure domain is evacuated.
  bool Evacuated = false;
  /// It asked this instance not to send requests before this time.
  boot_time PausedUntil;

  struct peer_count {
    uint32_t InFlight = 0;
    boot_time ReportedAt;
  };
  absl::flat_hash_map<uint64_t, peer_count> Peers;

  /// Whether it gets no more requests, by its entry or by its responses. Its
  /// next incarnation is another target.
  bool isDraining() const { return Entry.Draining || SaidDraining; }

  /// Whether it may get requests at all.
  bool isAvailable() const { return !isDraining() && !Evacuated; }

  /// How long it stays cold by what it said last; zero if it is warm.
  duration coldFor(boot_time Now) const {
    return std::max(std::max(ReportedAt + Entry.WarmupLeft, SaidWarmFrom) - Now,
                    duration::zero());
  }

  /// How long its requests are limited, as it may be cold: see countedWarmup().
  duration limitedFor(boot_time Now) const {
    return std::max(
        std::max(ReportedAt + countedWarmup(Entry.WarmupLeft), SaidWarmFrom) -
            Now,
        duration::zero());
  }
};

using target_ref = std::shared_ptr<target>;

/// Parameters of a choice.
struct placement_query {
  std::string_view Service;
  bool Repeatable = false;
  /// Targets that have already been sent this request.
  absl::Span<const target_key> Tried;
  /// The failure domains of the targets that it may reach; null: all.
  const domain_filter *Domains = nullptr;
  /// Requests per second of the service over the fleet that may probe targets,
  /// and the fraction of all that fails.
  double ProbingRate = 0;
  double FailedFraction = 0;
  /// Whether this request may probe a target.
  bool MayProbe = true;
  /// Probes per second over the fleet of targets that failed a short time ago.
  double EarlyProbeRate = 0;
  /// The targets that this instance watches; null if it watches none.
  const probe_division *Watched = nullptr;
  /// How long they may go without a request; none if this one need not care.
  std::optional<duration> WatchInterval;
};

/// All known targets with their health estimates, and the choice among them.
/// Reads no clock; not thread-safe.
class target_set {
public:
  target_set(const placement_settings &Settings, std::string FailureDomain)
      : Settings(Settings), FailureDomain(std::move(FailureDomain)) {}

  /// Adds a target or updates its entry.
  void put(const target_entry &Entry, boot_time Now);

  /// Removes a target; requests in flight to it continue.
  void remove(std::string_view Id);

  /// Targets in \p Domains get no more requests; all others may get them again.
  void setEvacuated(absl::Span<const std::string> Domains);

  /// Whether \p Service has targets in \p Domains that are not draining, and
  /// all of them are in evacuated failure domains.
  bool isEvacuated(std::string_view Service,
                   const domain_filter &Domains = {}) const;

  /// Whether \p Service has targets and \p Domains allows none of them.
  bool isOutside(std::string_view Service, const domain_filter &Domains) const;

  /// Number of targets in a failure domain.
  size_t sizeOfDomain(std::string_view Domain) const;
  /// How the targets of a service were divided.
  struct division {
    std::string Service;
    size_t Targets = 0;
    size_t Preferred = 0;
  };
  /// Takes the instances of the fleet and divides the targets of the services
  /// where that matters, see isOwnCountMeaningless(). Returns the services of
  /// which this instance prefers other targets than before.
  std::vector<division> setMembers(fleet_members Changed);

  /// Whether requests for \p Service prefer a part of its targets: its targets
  /// are divided and tell their load.
  bool isDivided(std::string_view Service) const;
  /// As in preferred_targets.
  std::optional<size_t> choiceOf(const target &Target) const;
  bool isPreferred(const target &Target) const {
    return choiceOf(Target).has_value();
  }

  /// Records the load that \p Target told in a response, before that request
  /// is taken off those in flight; none if it told none.
  static void tellLoad(target &Target, const std::optional<told_load> &Load,
                       boot_time Now);

  /// Requests at \p Target as told by itself and by the peers.
  double knownRequestsAt(const target &Target, boot_time Now) const;

  /// How long the requests of \p Service take.
  duration serviceTimeOf(std::string_view Service) const;

  /// Returns the target for a request, or null when no target may be used.
  /// Chooses by expected cost: the risk that the target is gray or unreachable
  /// from this instance, queueing at the target, traffic between failure
  /// domains, a new connection.
  target_ref choose(const placement_query &Query, boot_time Now,
                    absl::BitGenRef Random) const;

  /// When the first target of \p Service in \p Domains that could be used
  /// otherwise takes requests of this instance again; none if there is no such
  /// target, or one that takes requests now.
  std::optional<boot_time> pausedUntil(std::string_view Service, boot_time Now,
                                       const domain_filter &Domains = {}) const;

  /// Records that \p Target wants no requests of this instance for \p Pause.
  /// A shorter pause does not end a longer one.
  static void pause(target &Target, duration Pause, boot_time Now);

  /// Records evidence from an attempt of this instance.
  void observe(target &Target, evidence Evidence, boot_time SentAt,
               boot_time Now);

  /// Records evidence that is not yet known to be the target's fault: only this
  /// instance avoids the target for a short time.
  static void observePath(target &Target, evidence Evidence, boot_time SentAt,
                          boot_time Now);

  /// Records evidence reported by another instance.
  void observePeer(target_key Key, evidence Evidence, boot_time SentAt,
                   boot_time Now);

  /// Number of requests in flight to one target.
  struct in_flight {
    target_key Key = 0;
    uint32_t Count = 0;
  };
  /// Replaces the requests that \p Peer has in flight; targets that are not
  /// listed count as zero.
  void setPeerInFlight(uint64_t Peer, absl::Span<const in_flight> Counts,
                       boot_time Now);

  /// The targets with requests of this instance in flight, and their number.
  std::vector<in_flight> ownInFlight() const;

  template <typename Visitor> void forEach(Visitor &&Visit) const {
    for (const auto &[Id, Target] : ById)
      Visit(*Target);
  }

  /// Whether gray targets mostly accept requests and never respond.
  bool targetsHang() const { return Pattern->Mode.targetsHang(); }
  const failure_mode &failureMode() const { return Pattern->Mode; }

  size_t size() const { return ById.size(); }
  size_t sizeOf(std::string_view Service) const;
  target_ref find(std::string_view Id) const;
  target_ref find(target_key Key) const;

  /// All targets of \p Service.
  const std::vector<target_ref> &targetsOf(std::string_view Service) const;

  /// The room of \p Service: slots of targets that are neither draining,
  /// evacuated nor paused, and those in use by known requests. Targets that are
  /// probably gray do not count.
  service_room roomOf(std::string_view Service, boot_time Now) const;

  /// Whether the known requests in flight to \p Target exceed its capacity, so
  /// that the last ones queue at the target.
  bool isOverCapacity(const target &Target, boot_time Now) const;

  /// The expected cost of sending a request to \p Target.
  double costOf(const target &Target, const placement_query &Query,
                boot_time Now) const;

private:
  /// A target that may be chosen, and its cost.
  struct candidate {
    const target_ref *Target = nullptr;
    double Cost = 0;
  };
  /// Draws a candidate by the softmax of the costs. \p Among must not be empty.
  const target_ref &draw(std::vector<candidate> Among,
                         absl::BitGenRef Random) const;
  /// The choice among the targets of a service that are divided: a preferred
  /// target that has a free slot and is as sound as any, otherwise the best one
  /// of three that are drawn without regard to load, one of them in another
  /// failure domain. An instance can't know the load of each target: choosing
  /// the one that seems to be the least busy, as all instances would, overloads
  /// it.
  target_ref chooseDivided(const placement_query &Query, boot_time Now,
                           absl::BitGenRef Random) const;
  /// Targets that may be used, with their cost without load; those that have
  /// just refused only if there is no other.
  std::vector<candidate> dividedCandidates(const placement_query &Query,
                                           boot_time Now) const;
  target_ref choosePreferred(absl::Span<const candidate> Candidates,
                             const placement_query &Query, boot_time Now,
                             absl::BitGenRef Random) const;
  /// The part of the cost that does not depend on the load of \p Target, and
  /// the part that does.
  double healthCostOf(const target &Target, const placement_query &Query,
                      boot_time Now) const;
  double loadCostOf(const target &Target, boot_time Now) const;
  /// As knownRequestsAt(), or as told by the peers alone where the own count of
  /// requests in flight says something.
  double requestsAt(const target &Target, boot_time Now) const;
  bool hasFreeSlot(const target &Target, boot_time Now) const;

  static bool isUsable(const target &Target, const placement_query &Query,
                       boot_time Now);
  /// How long a target that is probably gray is excluded after its last
  /// failure; without limit while few requests fail, since the estimate decays
  /// to the prior.
  duration pauseAfterFailure(const placement_query &Query,
                             size_t Excluded) const;
  /// How long after the last request to a target that is probably gray a
  /// repeatable one probes it; without limit while few requests fail.
  duration earlyProbeInterval(const placement_query &Query) const;
  struct due_targets {
    std::vector<target_ref> Regular;
    /// Targets that failed a short time ago.
    std::vector<target_ref> Early;
  };
  due_targets dueForProbe(const placement_query &Query, boot_time Now) const;
  /// The watched target that has been without a request for longest, if that is
  /// longer than it may be.
  target_ref chooseWatched(const placement_query &Query, boot_time Now) const;
  /// Whether it is excluded, responded to its last probe and is due for
  /// another.
  bool isRecovering(const target &Target, boot_time Now) const;
  bool isProbeDue(const target &Target, boot_time Now) const;
  /// Probes per second to \p Due that the fleet would send if all its instances
  /// probed as often as this one should. A target of this failure domain counts
  /// as many times as there are domains, since mainly the instances of its own
  /// domain probe it.
  double wantedProbeRate(absl::Span<const target_ref> Due) const;
  target_ref chooseProbed(const placement_query &Query, boot_time Now,
                          absl::BitGenRef Random) const;
  static uint32_t reportedAt(const target &Target, boot_time Now);
  uint32_t inFlightAt(const target &Target, boot_time Now) const;

  const placement_settings Settings;
  const std::string FailureDomain;
  /// Each target of this set points to it.
  const std::unique_ptr<gray_pattern> Pattern =
      std::make_unique<gray_pattern>();
  absl::flat_hash_map<std::string, target_ref> ById;
  absl::flat_hash_map<target_key, target_ref> ByKey;
  absl::flat_hash_map<std::string, std::vector<target_ref>> ByService;
  absl::flat_hash_set<std::string> EvacuatedDomains;
  absl::flat_hash_map<std::string, service_time> ServiceTimes;
  fleet_members Members;
  /// The own parts of the services that are divided.
  absl::flat_hash_map<std::string, preferred_targets> Preferred;
  /// The targets at which each peer has requests in flight.
  absl::flat_hash_map<uint64_t, std::vector<target_ref>> UsedByPeer;
};

} // namespace magnolia::placement
