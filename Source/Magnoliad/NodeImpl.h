#pragma once

#include <atomic>
#include <memory>
#include <optional>
#include <string>
#include <thread>

#include "Common/Metrics.h"
#include "Common/TimerService.h"
#include "Instance/ShutdownPlan.h"
#include "Magnoliad/AdminPages.h"
#include "Magnoliad/Background.h"
#include "Magnoliad/ClaimAgent.h"
#include "Magnoliad/ConfigAgent.h"
#include "Magnoliad/Forwarder.h"
#include "Magnoliad/Gateway.h"
#include "Magnoliad/MemberAgent.h"
#include "Magnoliad/Node.h"
#include "Magnoliad/PeerMessenger.h"
#include "Magnoliad/QueueAgent.h"
#include "Magnoliad/RateAgent.h"
#include "Magnoliad/TargetAgent.h"
#include "Net/Http/HttpServer.h"

namespace magnolia::daemon {

/// Owns the components of an instance and runs them by timers. Members are
/// declared in the order of construction and destroyed in reverse order.
class node::impl {
public:
  explicit impl(const settings &Settings);
  ~impl();
  impl(const impl &) = delete;
  impl &operator=(const impl &) = delete;

  absl::Status start();
  std::string portLines() const;
  void stop();

private:
  absl::Status bind();
  absl::Status buildAgents(const platform::services &Services);
  absl::Status serveCallers();
  void subscribeTimers();
  void every(std::chrono::milliseconds Period,
             common::timer_service::callback Callback);
  void everyInBackground(std::chrono::milliseconds Period,
                         std::function<void()> Job);

  gateway_hooks gatewayHooks();
  admin_hooks adminHooks();
  std::string statusJson();
  void apply(const contract::snapshot_ptr &Snapshot);
  /// Passes the usable targets to the queues.
  void updateQueueTargets(common::boot_time Now);
  void stepRates();
  void addMetrics();
  void addConfigSamples(std::vector<common::metric_sample> &Samples);
  void addQueueSamples(std::vector<common::metric_sample> &Samples);

  instance::shutdown_settings shutdownSettings() const;
  /// What the shutdown has reached. In the step Finishing, also returns loans
  /// and shares once all requests are finished, and then sets
  /// \p RightsReturned.
  instance::shutdown_progress shutdownProgress(instance::shutdown_step Step,
                                               bool &RightsReturned);

  const settings Settings;
  const std::string Process;
  const std::string BootId;
  const uint64_t Incarnation;
  const common::boot_time Started = common::boot_clock::now();
  common::metrics Metrics;
  target::target_selector Selector;
  net::upstream_pool Upstream;
  queue_agent Queues;
  forwarder Forwarder;
  std::unique_ptr<peer_messenger> Messenger;
  std::unique_ptr<rate_agent> Rates;
  std::unique_ptr<target_agent> Targets;
  std::unique_ptr<member_agent> Members;
  std::unique_ptr<config_agent> Config;
  std::unique_ptr<claim_agent> Claims;
  std::unique_ptr<gateway> Gateway;
  std::unique_ptr<admin_pages> Admin;
  std::unique_ptr<http::http_server> Callers;
  std::atomic<bool> Draining{false};
  std::atomic<bool> RatesReady{false};
  common::timer_service Timers;
  // Last members: their jobs and timers use all of the above and must end
  // first.
  std::unique_ptr<background> Background;
  std::unique_ptr<common::timer_thread> TimerThread;
};

} // namespace magnolia::daemon
