#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "Contract/Manifest.h"
#include "Target/DrainMark.h"
#include "Target/Evidence.h"

namespace magnolia::target {

/// Health state of a target in the view of one instance.
enum class health_state : uint8_t {
  Healthy,
  /// Gets a limited number of requests after a back-off, which show whether it
  /// has recovered.
  Returning,
  /// An outlier in the view of this instance or of the fleet: used only while
  /// no other target has a free slot, one request at a time.
  Avoided,
  /// Ejected fleet-wide: not used at all.
  Ejected,
  /// Shutting down: gets no new requests.
  Draining,
  Count
};

/// The name of \p Health in metrics and status.
std::string_view nameOf(health_state Health);

/// Why a target is avoided.
enum class avoid_reason : uint8_t {
  None,
  /// Several failure domains see it fail, or none sees it work.
  TargetBad,
  /// It works for other instances: this instance's link to it is at fault.
  LinkBad
};

/// One request in flight at a target.
struct attempt_in_flight {
  uint64_t Id = 0;
  boot_time StartedAt;
};

/// State of one target in one instance. Guarded by the lock of its service.
class target_state {
public:
  explicit target_state(contract::target Config) : Config(std::move(Config)) {}

  const contract::target &config() const { return Config; }

  /// Applies the entry of a newer manifest. A changed address means a different
  /// process, of which nothing is known.
  void reconfigure(const contract::target &Newer);

  bool draining() const { return Config.Draining || Mark.Draining; }
  health_state health() const;

  /// Maximum number of requests in flight in its current health state.
  uint32_t limit() const;
  uint32_t inFlight() const { return static_cast<uint32_t>(Attempts.size()); }
  bool hasFreeSlot() const { return inFlight() < limit(); }
  /// Whether it refused a request as busy within BusyHold.
  bool busy(boot_time Now) const { return Now < BusyUntil; }
  double reportedLoad() const { return Load; }

  void begin(uint64_t Attempt, boot_time Now);
  /// Ends \p Attempt and returns its start; \p Default if it is unknown.
  boot_time end(uint64_t Attempt, boot_time Default);

  /// Requests in flight for longer than \p StallAge.
  uint32_t stalled(duration StallAge, boot_time Now) const;

  /// Records the end of one attempt that began at \p StartedAt.
  void observe(outcome Outcome, duration Latency, duration Median,
               boot_time StartedAt, boot_time Now, const settings &Settings);
  void reportLoad(double Reported) { Load = Reported; }
  void reportDrain(bool IsDraining, uint64_t Incarnation, boot_time StartedAt,
                   boot_time Now);
  void mergeDrain(const drain_mark &Other, boot_time Now);
  const drain_mark &drainMark() const { return Mark; }

  /// Whether the target is drained and should be probed now for its return;
  /// records the probe if so.
  bool probeDue(boot_time Now, const settings &Settings);

  /// The recent evidence; empty once the target has been avoided for longer
  /// than peers use evidence (DigestLifetime).
  evidence_summary summarize(duration StallAge, boot_time Now,
                             const settings &Settings) const;

  /// Performs the due transitions from Avoided to Returning and from Returning
  /// to Healthy.
  void advance(boot_time Now, const settings &Settings);
  void avoid(avoid_reason Why, boot_time Now, const settings &Settings);
  /// Ends the back-off and changes to Returning.
  void release(boot_time Now);
  /// Applies the fleet's ejection or its end. A healthy target that is ejected
  /// also starts a back-off; a target whose back-off is over at the end of the
  /// ejection changes to Returning.
  void setEjected(bool IsEjected, boot_time Now, const settings &Settings);

  avoid_reason reason() const { return Reason; }
  void setScore(double NewScore) { Score = NewScore; }
  double score() const { return Score; }

private:
  contract::target Config;
  evidence Evidence;
  std::vector<attempt_in_flight> Attempts;
  /// Health state apart from draining and ejection: Healthy, Returning or
  /// Avoided.
  health_state Phase = health_state::Healthy;
  bool Ejected = false;
  avoid_reason Reason = avoid_reason::None;
  duration BackOff{0};
  boot_time AvoidedSince;
  boot_time BackOffUntil;
  boot_time HealthySince;
  /// Attempts that began earlier are no evidence about the returned target.
  boot_time EvidenceFrom;
  uint32_t ResponsesSinceReturn = 0;
  boot_time BusyUntil;
  double Load = 0;
  double Score = 0;
  drain_mark Mark;
  boot_time MarkUpdatedAt;
  boot_time LastProbe;
};

} // namespace magnolia::target
