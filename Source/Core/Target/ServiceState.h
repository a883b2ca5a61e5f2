#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <absl/container/flat_hash_map.h>
#include <absl/types/span.h>

#include "Contract/Manifest.h"
#include "Target/Digest.h"
#include "Target/EjectionPlanner.h"
#include "Target/FleetView.h"
#include "Target/TargetState.h"

namespace magnolia::target {

/// The target selected for an attempt. The attempt occupies one of its slots
/// until it is finished or cancelled.
struct choice {
  std::string Service;
  std::string Target;
  std::string Address;
  std::string FailureDomain;
  uint64_t Attempt = 0;
};

/// A target's own report of whether it is draining.
struct drain_report {
  bool Draining = false;
  /// Start of its process as reported by it; zero if not reported.
  uint64_t Incarnation = 0;
};

/// How an attempt ended.
struct observation {
  outcome Outcome = outcome::Success;
  /// From the write of the request to the end of the response.
  duration Latency{0};
  /// Time to connect; zero on a reused connection.
  duration ConnectLatency{0};
  std::optional<drain_report> Drain = std::nullopt;
  /// Requests in flight as reported by the target; only breaks ties.
  std::optional<double> ReportedLoad = std::nullopt;
};

/// One target for metrics and status.
struct target_status {
  std::string Service;
  std::string Target;
  std::string Address;
  health_state Health = health_state::Healthy;
  avoid_reason Reason = avoid_reason::None;
  uint32_t InFlight = 0;
  uint32_t Slots = 0;
  double FaultRate = 0;
  /// Weighted geometric mean; zero without a response.
  duration Latency{0};
  /// Outlier score; an outlier at 1 and above.
  double Score = 0;
};

/// Identity of this instance.
struct identity {
  std::string Instance;
  std::string FailureDomain;
  /// Increases with each restart of the instance.
  uint64_t Incarnation = 0;
};

/// The targets of one service: selection, evidence, and avoidance and ejection
/// within the floor. Not thread-safe.
class service_state {
public:
  service_state(const contract::service &Config, identity Self,
                const settings &Settings);

  /// Applies the entry of a newer manifest and keeps the state of targets that
  /// remain.
  void reconfigure(const contract::service &Config);

  /// Selects the target for one attempt; empty if none has a free slot.
  /// \p Random is a new random number for each call.
  std::optional<choice> choose(absl::Span<const std::string> Excluded,
                               uint64_t Random, boot_time Now);
  void finish(const choice &Choice, const observation &Observation,
              boot_time Now);
  void cancel(const choice &Choice, boot_time Now);
  void reportDrain(std::string_view Target, const drain_report &Report,
                   boot_time SentAt, boot_time Now);

  /// Evaluates all targets if the last evaluation is at least an evaluation
  /// period old or an ejection has expired.
  void evaluate(boot_time Now);

  /// Starts a peer's report, which replaces its previous one.
  void beginReport(const digest &Digest, boot_time Now);
  void addReport(std::string_view Instance, const target_report &Report,
                 boot_time Now);
  /// Applies the fleet's ejections until \p Until.
  void setEjections(absl::Span<const std::string> Targets, boot_time Until,
                    boot_time Now);

  /// Decides on the fleet's ejections, in force until \p Now + \p Term, and
  /// applies them here. Call only while this instance holds the floor lease.
  std::vector<std::string> decide(duration Term, boot_time Now);

  const std::string &name() const { return Config.Name; }

  void appendReports(std::vector<target_report> &Reports, boot_time Now) const;
  void appendStatus(std::vector<target_status> &Status, boot_time Now) const;
  void appendProbes(std::vector<choice> &Probes, boot_time Now);

private:
  enum class preference : uint8_t { First, Busy, Avoided, None };

  target_state *find(std::string_view Target);
  preference preferenceOf(const target_state &Target,
                          absl::Span<const std::string> Excluded,
                          boot_time Now) const;
  bool better(const target_state &A, const target_state &B,
              bool PreferNear) const;
  duration stallAge() const;
  std::vector<evidence_summary> summaries(boot_time Now) const;
  void applyEjections(boot_time Now);
  void avoidOutliers(absl::Span<const evidence_summary> Own, boot_time Now);
  void enforceFloor(boot_time Now);
  uint32_t liveSlots() const;
  uint32_t unusedSlots() const;

  contract::service Config;
  const identity Self;
  const settings Settings;
  std::vector<target_state> Targets;
  absl::flat_hash_map<std::string, size_t> Indices;
  fleet_view Fleet;
  std::vector<fleet_verdict> Verdicts;
  ejection_planner Planner;
  std::vector<std::string> Ejections;
  boot_time EjectionsUntil;
  duration MedianLatency{0};
  boot_time EvaluatedAt;
  uint64_t LastAttempt = 0;
};

} // namespace magnolia::target
