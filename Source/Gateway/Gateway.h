#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <absl/container/flat_hash_map.h>
#include <absl/random/random.h>
#include <absl/status/statusor.h>

#include "Admission/TargetBytes.h"
#include "Admission/UnfetchedAnswers.h"
#include "Common/Metrics.h"
#include "Fleet/AcceptedConfiguration.h"
#include "Fleet/LostRequests.h"
#include "Fleet/SendOutcomes.h"
#include "Gateway/EvacuationControl.h"
#include "Gateway/FleetAgent.h"
#include "Gateway/HeaderNames.h"
#include "Gateway/LostConfiguration.h"
#include "Gateway/SecondSends.h"
#include "Gateway/ServiceQueues.h"
#include "Gateway/Settings.h"
#include "Gateway/Store.h"
#include "Gateway/StoreSharing.h"
#include "Gateway/TargetEndCheck.h"
#include "Gateway/TargetFeedback.h"
#include "Gateway/TargetPool.h"
#include "Net/Message/HttpServer.h"
#include "Placement/HomeRegions.h"
#include "Placement/LossFilter.h"
#include "Placement/RequestMix.h"
#include "Placement/TargetRegistry.h"
#include "Placement/TargetSet.h"
#include "Routing/RouteTable.h"
#include "Routing/SplitChooser.h"

namespace magnolia::gateway {

class exchange;

/// Decode stored rows. A row whose decoding fails is not used; the error says
/// what is wrong.
struct decoders {
  std::function<absl::StatusOr<routing::configuration>(
      const std::string &Value)>
      Configuration;
  std::function<absl::StatusOr<placement::target_entry>(
      const std::string &Id, const std::string &Value)>
      Target;
  /// Of the rows beside the configuration; may be absent.
  evacuation_decoder Evacuation;
};

/// Interfaces that the deployment provides.
struct environment {
  header_names HeaderNames;
  store_table Configuration;
  /// Key of the row that holds the configuration.
  std::string ConfigurationKey;
  store_table Targets;
  store_table Instances;
  decoders Decoders;
};

/// Who asks the directory for instances; each part may be empty.
struct directory_query {
  /// Host of the caller's requests.
  std::string Host;
  std::string Region;
  std::string FailureDomain;
};

/// Counters since the start, for metrics.
struct gateway_counters {
  uint64_t CallersDisconnected = 0;
  uint64_t Sends = 0;
  uint64_t ExtraAttempts = 0;
  /// Extra attempts that the budget did not allow.
  uint64_t ExtraAttemptsRefused = 0;
  uint64_t Connections = 0;
  /// Requests that were not sent because they are quarantined.
  uint64_t Quarantined = 0;
  /// Requests that were refused since messages held nearly all memory.
  uint64_t RefusedForMemory = 0;
  /// Requests that waited for room for their body at a target, and those that
  /// were refused for want of it.
  uint64_t HeldForTargetBytes = 0;
  uint64_t RefusedForTargetBytes = 0;
  /// Responses that were given up since their callers did not fetch them.
  uint64_t AbandonedResponses = 0;
  /// Choices of a target that left out cold ones.
  uint64_t ColdHeldBack = 0;
  /// Requests that targets refused to run.
  uint64_t RefusedByTargets = 0;
  /// Sends to targets that this instance prefers.
  uint64_t PreferredSends = 0;
};

/// One instance of the proxy. Its timers and connections refer to it: the loop
/// must not run after it is destroyed.
class gateway {
public:
  static absl::StatusOr<std::unique_ptr<gateway>>
  open(event::event_loop &Loop, settings Settings, environment Environment);
  ~gateway();
  gateway(const gateway &) = delete;
  gateway &operator=(const gateway &) = delete;

  /// Starts to follow the store and to exchange updates with peers.
  void start();

  /// Starts a graceful shutdown, which stops the loop at its end.
  void beginShutdown();

  /// Whether callers should be routed to this instance.
  bool ready() const;

  /// Caller addresses of instances for a caller: those of its failure domain if
  /// there are enough, otherwise all, or those in its region and in the home
  /// regions of the host's routes.
  std::vector<std::string> directory(const directory_query &Query) const;
  std::vector<std::string> directory(std::string_view FailureDomain) const {
    return directory({"", "", std::string(FailureDomain)});
  }

  /// Applies the settings that may change at run time: those of the graceful
  /// shutdown, the TTL of directory responses and the limit on second sends.
  void reconfigure(const settings &Changed);

  const settings &settingsInForce() const { return Settings; }

  /// Datagrams to and from other instances.
  const peer_traffic &peerTraffic() const { return Fleet->traffic(); }

  /// Counters, gauges and latencies in the Prometheus text format.
  std::string metricsText() { return Metrics.write(); }

private:
  friend class exchange;

  /// The failure domains to whose instances the directory sends a caller.
  placement::domain_filter domainsFor(const directory_query &Query) const;
  gateway(event::event_loop &Loop, settings Settings, environment Environment);
  absl::Status openPorts();
  absl::Status openFleet();
  void shareStore();
  fleet::table_hooks configurationHooks();
  fleet::table_hooks targetHooks();
  /// Offers a row with a configuration; rows with other keys are ignored.
  void offerConfiguration(const stored_row &Row, uint64_t Era,
                          fleet::offer_source Source);
  /// Logs a configuration that cannot be read, unless it is the one last
  /// logged. The one in force stays.
  void onInvalidConfiguration(const stored_row &Row, const absl::Status &Error);
  /// The era of the store in which the configuration in force was last read.
  uint64_t storeEra() const {
    return Accepted.inForce() ? Accepted.inForce()->Position.Era : 0;
  }
  void logTarget(const placement::target_entry &Entry) const;
  /// Logs an invalid entry among the targets', unless it is the one last
  /// logged.
  void onInvalidEntry(const stored_row &Row, const absl::Status &Error);
  placement::store_availability storeAvailability() const;
  void applyTarget(const stored_row &Row);
  void onCall(const std::shared_ptr<message::server_call> &Call);
  message::server_limits callerLimits() const;
  /// Records evidence of a request sent to \p Target and reports it to peers.
  void observe(std::string_view RequestId, placement::target &Target,
               placement::evidence Evidence, boot_time SentAt);
  /// Records that \p Target said in a response that it is draining.
  void onTargetDraining(std::string_view RequestId, placement::target &Target);
  /// Records the limit that \p Target named in a response, or that it named
  /// none.
  void onTargetLimit(const placement::target &Target,
                     std::optional<double> PerSecond);
  /// Records for how long \p Target said in a response that it stays cold.
  void onTargetWarmup(placement::target &Target, std::optional<duration> Left);
  /// Requests per second that \p Target takes from the whole fleet since it is
  /// cold; zero if it has no such limit.
  double coldLimitOf(const placement::target &Target) const;
  /// Takes over whether \p Target is cold, and logs a change.
  void updateCold(placement::target &Target);
  /// The same for all targets, with the instances that are known now.
  void updateColdTargets();
  /// Adds the cold targets of \p Service that take no request of this instance
  /// now.
  void addHeldBack(std::string_view Service,
                   std::vector<placement::target_key> &Keys);
  /// When the first target of \p Service takes requests of this instance; now
  /// if it has none.
  boot_time takesRequestsFrom(std::string_view Service,
                              const placement::domain_filter &Domains) const;
  /// Records the load that \p Target told in a response, or that it told none.
  void onTargetLoad(std::string_view RequestId, placement::target &Target,
                    const target_feedback &Feedback);
  /// Divides the targets among the instances that are known now.
  void divideTargets();
  /// Records a connection that was lost before a complete response. For a few
  /// milliseconds it counts only against the path to the target; then it counts
  /// against the target as well, unless many others were lost with it.
  void onConnectionLost(placement::lost_connection Lost);
  /// Starts to connect to \p Target; null if the system reports an error.
  std::shared_ptr<message::client_connection>
  connectTo(const placement::target &Target);
  /// Finds out whether the target ended while it ran the request.
  void checkEnded(const placement::lost_connection &Lost);
  void onTargetEnded(const placement::lost_connection &Lost,
                     const fleet::ended_run &Run);
  /// Whether requests of \p Service wait by rank: the settings say so, they
  /// differ in rank, and the service's targets are divided.
  bool waitsByRank(std::string_view Service) const {
    const queue_settings &Queue = Settings.Queues;
    return Queue.ByRank && Routes && Routes->ranks().countOf(Service) > 1 &&
           (!Queue.OnlyWhereDivided || TargetSet.isDivided(Service));
  }
  /// Counts what a target did with a request of this instance or a peer.
  void countOutcome(const placement::target &Target,
                    placement::evidence Evidence);
  admission::service_load loadOf(std::string_view Service,
                                 size_t RankCount) const;
  /// The targets that this instance watches, by the peers that are ready and
  /// can be reached.
  const placement::probe_division &watchedTargets();
  /// Records that a target completed a request with this fingerprint.
  void onCompleted(uint64_t Fingerprint) {
    LostRequests.forget(Fingerprint);
    Fleet->completeQuarantine(Fingerprint);
  }
  /// Applies and logs a changed limit on second sends.
  void limitSecondSends(const std::optional<fleet::second_send_limit> &Limit);
  /// Logs when the belief changes that targets hang.
  void logFailureMode();
  /// Calls continueShutdown() after a while, or when the next step is due.
  void scheduleShutdown();
  void continueShutdown();
  admission::shutdown_plan shutdownPlan() const;
  void logExit(duration Elapsed) const;
  /// Whether a graceful shutdown is so far advanced that a request with the
  /// deadline \p RespondBy must be refused.
  bool mustReject(boot_time RespondBy) const;
  void addRequestSamples(std::vector<common::metric_sample> &Samples) const;
  void addLoadSamples(std::vector<common::metric_sample> &Samples) const;
  void addTargetSamples(std::vector<common::metric_sample> &Samples) const;
  void addFleetSamples(std::vector<common::metric_sample> &Samples) const;
  void addPeerTraffic(std::vector<common::metric_sample> &Samples) const;
  void addWaitingSamples(std::vector<common::metric_sample> &Samples) const;

  event::event_loop &Loop;
  settings Settings;
  const environment Environment;
  gateway_counters Counters;
  common::metrics Metrics;
  absl::BitGen Random;
  placement::target_set TargetSet;
  const placement::region_map Regions;
  evacuation_control Evacuation;
  placement::target_registry TargetRegistry;
  fleet::cold_targets ColdTargets;
  placement::loss_filter Losses;
  placement::request_mix RequestMix;
  placement::probe_division WatchDivision;
  boot_time WatchDividedAt;
  target_pool Pool;
  target_end_check EndCheck;
  fleet::lost_requests LostRequests;
  fleet::send_outcomes Outcomes;
  /// Of requests and responses, while they are read and until they are sent.
  const std::shared_ptr<admission::memory_shares> Memory;
  /// Of responses, while callers fetch them; null if none is given up.
  std::shared_ptr<admission::unfetched_answers> Unfetched;
  /// Of bodies at targets that have not responded.
  const std::shared_ptr<admission::target_bytes> TargetBytes;
  std::unique_ptr<fleet_agent> Fleet;
  std::unique_ptr<second_sends> SecondSends;
  std::unique_ptr<store_sharing> Store;
  fleet::accepted_configuration Accepted;
  std::unique_ptr<lost_configuration> LostConfiguration;
  std::shared_ptr<const routing::route_table> Routes;
  boot_time RoutesSince;
  routing::split_chooser Splits;
  /// For services whose requests differ in rank.
  service_queues Queues;
  std::unique_ptr<message::http_server> CallerServer;
  std::unique_ptr<message::http_server> PeerServer;
  bool TargetsRead = false;
  /// Messages that wait for memory are about to try again.
  bool RoomScheduled = false;
  /// The keys of invalid entries among the targets', and hashes of their
  /// values.
  absl::flat_hash_map<std::string, uint64_t> InvalidEntries;
  /// Hash of the invalid configuration that was last logged.
  std::optional<uint64_t> InvalidConfiguration;
  /// As last logged.
  bool TargetsHang = false;
  bool ShuttingDown = false;
  boot_time ShutdownStarted;
};

} // namespace magnolia::gateway
