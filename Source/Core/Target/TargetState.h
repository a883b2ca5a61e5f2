#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "Contract/Manifest.h"
#include "Target/DrainMark.h"
#include "Target/Evidence.h"

namespace magnolia::target {

/// How a target stands in one instance.
enum class health_state : uint8_t {
  Healthy,
  /// Gets few live requests after a rest.
  Returning,
  /// Seen as an outlier by this instance or by the fleet: used only while no
  /// other target has a free slot, one request at a time.
  Avoided,
  /// Ejected by the whole fleet: not used at all.
  Ejected,
  /// Leaving: gets no new work.
  Draining,
  Count
};

/// The name of \p Health as metrics and status show it.
std::string_view nameOf(health_state Health);

/// Why a target is avoided.
enum class avoid_reason : uint8_t {
  None,
  /// Several failure domains see it fail, or nobody contradicts.
  TargetBad,
  /// It works for other instances: the link to it is at fault.
  LinkBad
};

/// One request that a target has not answered.
struct attempt_in_flight {
  uint64_t Id = 0;
  boot_time Begun;
};

/// One target as one instance knows it. Guarded by its service.
class target_state {
public:
  explicit target_state(contract::target Config) : Config(std::move(Config)) {}

  const contract::target &config() const { return Config; }

  /// Takes a newer manifest's entry over. Another address means another
  /// process, of which nothing is known.
  void reconfigure(const contract::target &Newer);

  bool draining() const { return Config.Draining || Mark.Draining; }
  health_state health() const;

  /// Requests that it may have in flight as it stands.
  uint32_t limit() const;
  uint32_t inFlight() const { return static_cast<uint32_t>(Attempts.size()); }
  bool hasFreeSlot() const { return inFlight() < limit(); }
  /// Refused work as busy a moment ago.
  bool busy(boot_time Now) const { return Now < BusyUntil; }
  double reportedLoad() const { return Load; }

  void begin(uint64_t Attempt, boot_time Now);
  /// The start of \p Attempt, which is in flight no longer; \p Default if it
  /// is unknown.
  boot_time end(uint64_t Attempt, boot_time Default);

  /// Requests in flight for longer than \p StallAge.
  uint32_t stalled(duration StallAge, boot_time Now) const;

  /// The end of one attempt begun at \p Begun.
  void observe(outcome Outcome, duration Latency, duration Median,
               boot_time Begun, boot_time Now, const settings &Settings);
  void reportLoad(double Reported) { Load = Reported; }
  void reportDrain(bool IsDraining, uint64_t Incarnation, boot_time Begun,
                   boot_time Now);
  void mergeDrain(const drain_mark &Other, boot_time Now);
  const drain_mark &drainMark() const { return Mark; }

  /// A drained target that should be asked whether it came back.
  bool probeDue(boot_time Now, const settings &Settings);

  /// What was seen of it lately; nothing once it has rested for longer than
  /// peers use evidence.
  evidence_summary summarize(duration StallAge, boot_time Now,
                             const settings &Settings) const;

  /// Moves from rest to return, and from return to healthy.
  void advance(boot_time Now, const settings &Settings);
  void avoid(avoid_reason Why, boot_time Now, const settings &Settings);
  /// Ends a rest and begins to return.
  void release(boot_time Now);
  void setEjected(bool IsEjected, boot_time Now, const settings &Settings);

  avoid_reason reason() const { return Reason; }
  void setScore(double NewScore) { Score = NewScore; }
  double score() const { return Score; }

private:
  contract::target Config;
  evidence Evidence;
  std::vector<attempt_in_flight> Attempts;
  health_state Phase = health_state::Healthy;
  bool Ejected = false;
  avoid_reason Reason = avoid_reason::None;
  duration BackOff{0};
  boot_time AvoidedSince;
  boot_time RestUntil;
  boot_time HealthySince;
  /// Attempts begun before are not evidence about the returned target.
  boot_time EvidenceFrom;
  uint32_t ResponsesSinceReturn = 0;
  boot_time BusyUntil;
  double Load = 0;
  double Score = 0;
  drain_mark Mark;
  boot_time MarkUpdated;
  boot_time LastProbe;
};

} // namespace magnolia::target
