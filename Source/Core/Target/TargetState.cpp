#include "Target/TargetState.h"

#include <algorithm>
#include <array>

namespace magnolia::target {
namespace {

/// Answers of a returning target after which it may hold one request more.
constexpr uint32_t AnswersPerExtraSlot = 2;

constexpr std::array<std::string_view, static_cast<size_t>(standing::Count)>
    StandingNames = {"healthy", "returning", "avoided", "ejected", "draining"};

} // namespace

std::string_view nameOf(standing Standing) {
  return StandingNames[static_cast<size_t>(Standing)];
}

void target_state::reconfigure(const contract::target &Newer) {
  if (Newer.Address != Config.Address) {
    // Attempts at the old process end here, where they are unknown.
    *this = target_state(Newer);
    return;
  }
  // Operators who take a drain back know more than the marks gathered so far.
  if (Config.Draining && !Newer.Draining)
    Mark.report(false, Mark.Incarnation);
  Config = Newer;
}

standing target_state::standingNow() const {
  if (draining())
    return standing::Draining;
  return Ejected ? standing::Ejected : Phase;
}

uint32_t target_state::limit() const {
  switch (standingNow()) {
  case standing::Healthy:
    return Config.Slots;
  case standing::Returning:
    return std::min(Config.Slots, 1 + AnswersSinceReturn / AnswersPerExtraSlot);
  case standing::Avoided:
    return 1;
  case standing::Ejected:
  case standing::Draining:
  case standing::Count:
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
  const boot_time Begun = Found->Begun;
  *Found = Attempts.back();
  Attempts.pop_back();
  return Begun;
}

uint32_t target_state::stalled(duration StallAge, boot_time Now) const {
  return static_cast<uint32_t>(
      std::count_if(Attempts.begin(), Attempts.end(), [&](const auto &Each) {
        return Each.Begun >= EvidenceFrom && Now - Each.Begun >= StallAge;
      }));
}

void target_state::observe(outcome Outcome, duration Latency, duration Median,
                           boot_time Begun, boot_time Now,
                           const settings &Settings) {
  if (Outcome == outcome::RefusedNotRun)
    BusyUntil = Now + Settings.BusyHold;
  if (Begun < EvidenceFrom)
    return;
  Evidence.observe(Outcome, Latency, Median, Now, Settings);
  if (Outcome == outcome::Success && Phase == standing::Returning)
    ++AnswersSinceReturn;
}

void target_state::reportDrain(bool IsDraining, uint64_t Incarnation,
                               boot_time Begun, boot_time Now) {
  const bool Late = Begun <= MarkTaken;
  const bool Changed = Late ? Mark.reportLate(IsDraining, Incarnation)
                            : Mark.report(IsDraining, Incarnation);
  if (Changed || Mark.Draining == IsDraining)
    MarkTaken = Now;
}

void target_state::mergeDrain(const drain_mark &Other, boot_time Now) {
  if (Mark.merge(Other))
    MarkTaken = Now;
}

bool target_state::probeDue(boot_time Now, const settings &Settings) {
  const boot_time Last = std::max(MarkTaken, LastProbe);
  if (!Mark.Draining || Config.Draining ||
      Now - Last < Settings.DrainProbeAfter)
    return false;
  LastProbe = Now;
  return true;
}

evidence_summary target_state::summarize(duration StallAge, boot_time Now,
                                         const settings &Settings) const {
  if (Phase == standing::Avoided &&
      Now - AvoidedSince > Settings.DigestLifetime)
    return {};
  return Evidence.summarize(stalled(StallAge, Now), Now, Settings);
}

void target_state::advance(boot_time Now, const settings &Settings) {
  if (Phase == standing::Avoided && RestUntil <= Now) {
    release(Now);
    return;
  }
  if (Phase == standing::Returning &&
      AnswersSinceReturn >= Settings.ReturnAnswers) {
    Phase = standing::Healthy;
    Reason = avoid_reason::None;
    HealthySince = Now;
    return;
  }
  if (Phase == standing::Healthy && Now - HealthySince > Settings.BackOffReset)
    BackOff = duration::zero();
}

void target_state::avoid(avoid_reason Why, boot_time Now,
                         const settings &Settings) {
  BackOff = BackOff == duration::zero()
                ? Settings.BackOff
                : std::min(BackOff * 2, Settings.LongestBackOff);
  Phase = standing::Avoided;
  Reason = Why;
  AvoidedSince = Now;
  RestUntil = Now + BackOff;
}

void target_state::release(boot_time Now) {
  EvidenceFrom = Now;
  Phase = standing::Returning;
  AnswersSinceReturn = 0;
  Evidence.reset();
}

void target_state::setEjected(bool IsEjected, boot_time Now,
                              const settings &Settings) {
  if (Ejected && !IsEjected && Phase != standing::Avoided) {
    release(Now);
  }
  if (!Ejected && IsEjected && Phase == standing::Healthy)
    avoid(avoid_reason::TargetBad, Now, Settings);
  Ejected = IsEjected;
}

} // namespace magnolia::target
