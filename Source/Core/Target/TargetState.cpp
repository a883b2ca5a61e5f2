#include "Target/TargetState.h"

#include <algorithm>
#include <array>

namespace magnolia::target {
namespace {

/// Successful responses of a returning target after which it may have one more
/// request in flight.
constexpr uint32_t ResponsesPerExtraSlot = 2;

constexpr std::array<std::string_view, static_cast<size_t>(health_state::Count)>
    HealthNames = {"healthy", "returning", "avoided", "ejected", "draining"};

} // namespace

std::string_view nameOf(health_state Health) {
  return HealthNames[static_cast<size_t>(Health)];
}

void target_state::reconfigure(const contract::target &Newer) {
  if (Newer.Address != Config.Address) {
    // Attempts at the old process are dropped; their later end is ignored.
    *this = target_state(Newer);
    return;
  }
  // If the operator revokes a drain, this overrides the marks collected so far.
  if (Config.Draining && !Newer.Draining)
    Mark.report(false, Mark.Incarnation);
  Config = Newer;
}

health_state target_state::health() const {
  if (draining())
    return health_state::Draining;
  return Ejected ? health_state::Ejected : Phase;
}

uint32_t target_state::limit() const {
  switch (health()) {
  case health_state::Healthy:
    return Config.Slots;
  case health_state::Returning:
    return std::min(Config.Slots,
                    1 + ResponsesSinceReturn / ResponsesPerExtraSlot);
  case health_state::Avoided:
    return 1;
  case health_state::Ejected:
  case health_state::Draining:
  case health_state::Count:
    return 0;
  }
  return 0;
}

void target_state::begin(uint64_t Attempt, boot_time Now) {
  Attempts.push_back({Attempt, Now});
}

boot_time target_state::end(uint64_t Attempt, boot_time Default) {
  const auto Found =
      std::find_if(Attempts.begin(), Attempts.end(),
                   [&](const auto &Each) { return Each.Id == Attempt; });
  if (Found == Attempts.end())
    return Default;
  const boot_time StartedAt = Found->StartedAt;
  *Found = Attempts.back();
  Attempts.pop_back();
  return StartedAt;
}

uint32_t target_state::stalled(duration StallAge, boot_time Now) const {
  return static_cast<uint32_t>(
      std::count_if(Attempts.begin(), Attempts.end(), [&](const auto &Each) {
        return Each.StartedAt >= EvidenceFrom &&
               Now - Each.StartedAt >= StallAge;
      }));
}

void target_state::observe(outcome Outcome, duration Latency, duration Median,
                           boot_time StartedAt, boot_time Now,
                           const settings &Settings) {
  if (Outcome == outcome::RefusedNotRun)
    BusyUntil = Now + Settings.BusyHold;
  if (StartedAt < EvidenceFrom)
    return;
  Evidence.observe(Outcome, Latency, Median, Now, Settings);
  if (Outcome == outcome::Success && Phase == health_state::Returning)
    ++ResponsesSinceReturn;
}

void target_state::reportDrain(bool IsDraining, uint64_t Incarnation,
                               boot_time StartedAt, boot_time Now) {
  const bool Late = StartedAt <= MarkUpdatedAt;
  const bool Changed = Late ? Mark.reportLate(IsDraining, Incarnation)
                            : Mark.report(IsDraining, Incarnation);
  if (Changed || Mark.Draining == IsDraining)
    MarkUpdatedAt = Now;
}

void target_state::mergeDrain(const drain_mark &Other, boot_time Now) {
  if (Mark.merge(Other))
    MarkUpdatedAt = Now;
}

bool target_state::probeDue(boot_time Now, const settings &Settings) {
  const boot_time Last = std::max(MarkUpdatedAt, LastProbe);
  if (!Mark.Draining || Config.Draining ||
      Now - Last < Settings.DrainProbeAfter)
    return false;
  LastProbe = Now;
  return true;
}

evidence_summary target_state::summarize(duration StallAge, boot_time Now,
                                         const settings &Settings) const {
  if (Phase == health_state::Avoided &&
      Now - AvoidedSince > Settings.DigestLifetime)
    return {};
  return Evidence.summarize(stalled(StallAge, Now), Now, Settings);
}

void target_state::advance(boot_time Now, const settings &Settings) {
  if (Phase == health_state::Avoided && BackOffUntil <= Now) {
    release(Now);
    return;
  }
  if (Phase == health_state::Returning &&
      ResponsesSinceReturn >= Settings.ResponsesToRecover) {
    Phase = health_state::Healthy;
    Reason = avoid_reason::None;
    HealthySince = Now;
    return;
  }
  if (Phase == health_state::Healthy &&
      Now - HealthySince > Settings.BackOffReset)
    BackOff = duration::zero();
}

void target_state::avoid(avoid_reason Why, boot_time Now,
                         const settings &Settings) {
  BackOff = BackOff == duration::zero()
                ? Settings.BackOff
                : std::min(BackOff * 2, Settings.MaxBackOff);
  Phase = health_state::Avoided;
  Reason = Why;
  AvoidedSince = Now;
  BackOffUntil = Now + BackOff;
}

void target_state::release(boot_time Now) {
  EvidenceFrom = Now;
  Phase = health_state::Returning;
  ResponsesSinceReturn = 0;
  Evidence.reset();
}

void target_state::setEjected(bool IsEjected, boot_time Now,
                              const settings &Settings) {
  if (Ejected && !IsEjected && Phase != health_state::Avoided) {
    release(Now);
  }
  if (!Ejected && IsEjected && Phase == health_state::Healthy)
    avoid(avoid_reason::TargetBad, Now, Settings);
  Ejected = IsEjected;
}

} // namespace magnolia::target
