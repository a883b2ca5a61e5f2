#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <absl/container/flat_hash_map.h>
#include <absl/random/random.h>
#include <absl/status/statusor.h>

#include "Common/Metrics.h"
#include "Fleet/AcceptedConfiguration.h"
#include "Fleet/LostRequests.h"
#include "Gateway/FleetAgent.h"
#include "Gateway/HeaderNames.h"
#include "Gateway/LostConfiguration.h"
#include "Gateway/Settings.h"
#include "Gateway/Store.h"
#include "Gateway/StoreSharing.h"
#include "Gateway/TargetEndCheck.h"
#include "Gateway/TargetPool.h"
#include "Net/Message/HttpServer.h"
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

  /// Caller addresses of instances for a caller in \p FailureDomain.
  std::vector<std::string> directory(std::string_view FailureDomain) const;

  /// Applies the settings that may change at run time: those of the graceful
  /// shutdown and the TTL of directory responses.
  void reconfigure(const settings &Changed);

  const settings &settingsInForce() const { return Settings; }

  /// Datagrams to and from other instances.
  const peer_traffic &peerTraffic() const { return Fleet->traffic(); }

  /// Counters, gauges and latencies in the Prometheus text format.
  std::string metricsText() { return Metrics.write(); }

private:
  friend class exchange;

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
  /// The targets that this instance watches, by the peers that are ready and
  /// can be reached.
  const placement::probe_division &watchedTargets();
  /// Records that a target completed a request with this fingerprint.
  void onCompleted(uint64_t Fingerprint) {
    LostRequests.forget(Fingerprint);
    Fleet->completeQuarantine(Fingerprint);
  }
  /// Logs when the belief changes that targets hang.
  void logFailureMode();
  void continueShutdown();
  /// Whether a graceful shutdown is so far advanced that a request with the
  /// deadline \p RespondBy must be refused.
  bool mustReject(boot_time RespondBy) const;
  void addRequestSamples(std::vector<common::metric_sample> &Samples) const;
  void addTargetSamples(std::vector<common::metric_sample> &Samples) const;
  void addFleetSamples(std::vector<common::metric_sample> &Samples) const;
  void addPeerTraffic(std::vector<common::metric_sample> &Samples) const;

  event::event_loop &Loop;
  settings Settings;
  const environment Environment;
  gateway_counters Counters;
  common::metrics Metrics;
  absl::BitGen Random;
  placement::target_set TargetSet;
  placement::target_registry TargetRegistry;
  placement::loss_filter Losses;
  placement::request_mix RequestMix;
  placement::probe_division WatchDivision;
  boot_time WatchDividedAt;
  target_pool Pool;
  target_end_check EndCheck;
  fleet::lost_requests LostRequests;
  /// Of requests and responses, while they are read and until they are sent.
  const std::shared_ptr<admission::memory_shares> Memory;
  std::unique_ptr<fleet_agent> Fleet;
  std::unique_ptr<store_sharing> Store;
  fleet::accepted_configuration Accepted;
  std::unique_ptr<lost_configuration> LostConfiguration;
  std::shared_ptr<const routing::route_table> Routes;
  boot_time RoutesSince;
  routing::split_chooser Splits;
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
