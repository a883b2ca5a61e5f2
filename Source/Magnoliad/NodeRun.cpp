#include <thread>

#include <nlohmann/json.hpp>

#include "Common/Log.h"
#include "Magnoliad/NodeImpl.h"

/// Operation of an instance: timers, hooks between components, and shutdown.
namespace magnolia::daemon {
namespace {

using common::boot_clock;
using common::boot_time;
using common::log_level;

constexpr const char *Component = "Node";

constexpr milliseconds RatePeriod{5};
constexpr milliseconds QueuePeriod{5};
constexpr milliseconds FollowerPeriod{100};
constexpr milliseconds EvaluationPeriod{100};
constexpr milliseconds DigestPeriod{250};
constexpr milliseconds LeasePeriod{1000};
constexpr milliseconds SharePeriod{500};
constexpr milliseconds TablePeriod{1000};
constexpr milliseconds IdlePeriod{1000};
constexpr milliseconds ClaimSweepPeriod{10'000};

constexpr milliseconds ShutdownPollInterval{20};
/// Maximum wait for the return of shares; shares that are not returned end with
/// their lease.
constexpr milliseconds ShareReturnTimeout{5000};
/// How long connections must be idle before they are closed.
constexpr milliseconds IdleTime{200};

} // namespace

void node::impl::every(milliseconds Period,
                       common::timer_service::callback Callback) {
  Timers.subscribeEvery(boot_clock::now(), Period, std::move(Callback));
}

void node::impl::everyInBackground(milliseconds Period,
                                   std::function<void()> Job) {
  every(Period, [Start = Background->exclusive(std::move(Job))](boot_time) {
    Start();
  });
}

void node::impl::subscribeTimers() {
  every(RatePeriod, [this](boot_time) { Rates->advance(); });
  every(QueuePeriod, [this](boot_time Now) { Queues.advance(Now); });
  every(FollowerPeriod, [this](boot_time Now) {
    Config->setPeers(Members->peers(Now));
    Config->advance(Now);
  });
  every(EvaluationPeriod, [this](boot_time Now) {
    Targets->tick(Now);
    updateQueueTargets(Now);
  });
  every(DigestPeriod,
        [this](boot_time Now) { Targets->publish(Members->peers(Now), Now); });
  every(Settings.Follow.HeartbeatPeriod,
        [this](boot_time Now) { Members->heartbeat(Now); });
  every(IdlePeriod, [this](boot_time) { Upstream.closeIdle(); });
  everyInBackground(TablePeriod,
                    [this] { Members->syncTable(boot_clock::now()); });
  everyInBackground(LeasePeriod,
                    [this] { Targets->pollLease(boot_clock::now()); });
  everyInBackground(LeasePeriod, [this] { Targets->probe(boot_clock::now()); });
  everyInBackground(SharePeriod, [this] { stepRates(); });
  everyInBackground(ClaimSweepPeriod, [this] { Claims->removeExpired(); });
}

void node::impl::updateQueueTargets(boot_time Now) {
  Queues.setTargets(Selector.snapshot(Now),
                    static_cast<uint32_t>(Members->candidates(Now).size()));
}

void node::impl::stepRates() {
  // Instances that start at the same time must discover each other before they
  // divide the shares.
  if (Draining || boot_clock::now() < Started + Settings.Rates.Settle)
    return;
  const absl::Status Status =
      Rates->step(Members->candidates(boot_clock::now()));
  if (Status.ok())
    RatesReady = true;
  else
    common::log(log_level::Debug, Component, "cannot maintain rate shares",
                {{"detail", std::string(Status.message())}});
}

void node::impl::apply(const contract::snapshot_ptr &Snapshot) {
  Selector.setServices(Snapshot->content().Manifest.Services);
  Queues.setConfiguration(Snapshot);
  Rates->setConfiguration(Snapshot);
  // Operators wait until the row confirms the version.
  Background->run([this] { Members->confirm(boot_clock::now()); });
}

gateway_hooks node::impl::gatewayHooks() {
  gateway_hooks Hooks;
  Hooks.Snapshot = [this] { return Config->snapshot(); };
  Hooks.IsFresh = [this] { return Config->isFresh(); };
  Hooks.AdmitRate = [this](std::string_view Workspace, boot_time Deadline) {
    return Rates->admit(Workspace, Deadline);
  };
  Hooks.ClaimKey = [this](const request::idempotency_scope &Scope,
                          const std::string &Fingerprint, boot_time Deadline) {
    return Claims->claim(Scope, Fingerprint, Deadline);
  };
  Hooks.FinishClaim = [this](const request::claim &Claim,
                             common::execution Execution, int HttpStatus) {
    Claims->finish(Claim, Execution, HttpStatus);
  };
  Hooks.Directory = [this](std::string_view Workspace) {
    return Members->directoryResponse(Rates->owners(Workspace),
                                      boot_clock::now());
  };
  return Hooks;
}

admin_hooks node::impl::adminHooks() {
  admin_hooks Hooks;
  Hooks.NotReady = [this]() -> std::string {
    if (Draining)
      return "the instance is leaving";
    if (!Config->snapshot())
      return "no configuration yet";
    if (!RatesReady)
      return "the shares of rates are not known yet";
    return Config->isFresh() ? "" : "cut off from news of the configuration";
  };
  Hooks.Status = [this] { return statusJson(); };
  return Hooks;
}

std::string node::impl::statusJson() {
  const boot_time Now = boot_clock::now();
  nlohmann::json Status = {{"name", Settings.Identity.Name},
                           {"version", Config->version()},
                           {"fresh", Config->isFresh()},
                           {"leaving", Draining.load()}};
  for (const instance::member &Member : Members->members(Now))
    Status["members"].push_back(
        {{"name", Member.Info.Name},
         {"failure_domain", Member.Info.FailureDomain},
         {"presence", std::string(nameOf(Member.Presence))},
         {"version", Member.ConfigurationVersion}});
  for (const target::target_status &Target : Selector.snapshot(Now))
    Status["targets"].push_back(
        {{"service", Target.Service},
         {"target", Target.Target},
         {"standing", std::string(nameOf(Target.Health))},
         {"in_flight", Target.InFlight}});
  return Status.dump();
}

instance::shutdown_settings node::impl::shutdownSettings() const {
  instance::shutdown_settings Shutdown;
  Shutdown.DirectoryTtl = Settings.Directory.Ttl;
  // Shares are needed until the last request is finished.
  Shutdown.ReturnTimeout = Shutdown.AnnounceTimeout + Shutdown.DirectoryTtl +
                           Shutdown.Slack + ShareReturnTimeout;
  return Shutdown;
}

instance::shutdown_progress
node::impl::shutdownProgress(instance::shutdown_step Step,
                             bool &RightsReturned) {
  instance::shutdown_progress Progress;
  Progress.PeersConfirmed = Members->drainingKnownToAll(boot_clock::now());
  if (Step != instance::shutdown_step::Finishing)
    return Progress;
  const bool Finished = Callers->finish(IdleTime, 2 * IdleTime);
  Progress.RequestsInFlight =
      Finished ? 0 : static_cast<uint32_t>(Callers->busyConnections());
  RightsReturned = RightsReturned || (Finished && Rates->release().ok());
  Progress.RightsReturned = RightsReturned;
  return Progress;
}

void node::impl::stop() {
  Draining = true;
  Members->startDraining();
  Members->heartbeat(boot_clock::now());
  Callers->beginDrain();
  Members->removeRow();

  instance::shutdown_plan Plan(shutdownSettings());
  Plan.begin(boot_clock::now());
  bool RightsReturned = false;
  auto Logged = instance::shutdown_step::Serving;
  while (Plan.step() != instance::shutdown_step::Done) {
    if (Plan.step() != Logged)
      common::log(log_level::Info, Component, "graceful shutdown",
                  {{"step", std::string(nameOf(Plan.step()))}});
    Logged = Plan.step();
    std::this_thread::sleep_for(ShutdownPollInterval);
    Plan.advance(shutdownProgress(Plan.step(), RightsReturned),
                 boot_clock::now());
  }
  Targets->releaseLease();
  common::log(log_level::Info, Component, "every request is finished",
              {{"rights_returned", RightsReturned ? "true" : "false"}});
}

} // namespace magnolia::daemon
