#include "Target/ServiceState.h"

#include <algorithm>
#include <cmath>

#include "Common/StringView.h"
#include "Target/Outlier.h"

namespace magnolia::target {
namespace {

/// Candidates that a choice examines at least; then it stops once it has a
/// target of the first preference.
constexpr size_t SampledCandidates = 8;
/// One in this many choices ignores failure domains, so that each target is
/// observed from all of them even at low load.
constexpr uint64_t ChoicesPerDomainBlindOne = 4;
/// Reports below this weight and without a drain mark carry no information for
/// peers.
constexpr double MinReportedWeight = 0.5;

/// Lower than the suspicion that one fault adds.
constexpr double ReturnThreshold = 3;

/// Settings for returning targets, which limit the requests lost to a failed
/// return: one fault or a few slow responses end it.
settings strictForReturn(const settings &Settings) {
  settings Strict = Settings;
  Strict.Threshold = std::min(Strict.Threshold, ReturnThreshold);
  return Strict;
}

bool contains(absl::Span<const std::string> Names, std::string_view Name) {
  return std::find(Names.begin(), Names.end(), Name) != Names.end();
}

} // namespace

service_state::service_state(const contract::service &Config, identity Self,
                             const settings &Settings)
    : Self(std::move(Self)), Settings(Settings), Planner(Settings) {
  reconfigure(Config);
}

void service_state::reconfigure(const contract::service &Newer) {
  std::vector<target_state> Kept;
  Kept.reserve(Newer.Targets.size());
  absl::flat_hash_map<std::string, size_t> KeptIndices;
  for (const contract::target &Target : Newer.Targets) {
    target_state *Known = find(Target.Name);
    Kept.push_back(Known ? std::move(*Known) : target_state(Target));
    Kept.back().reconfigure(Target);
    KeptIndices.emplace(Target.Name, Kept.size() - 1);
  }
  Targets = std::move(Kept);
  // Peers' evidence refers to targets by index, which a changed list shifts.
  const bool SameTargets = KeptIndices == Indices;
  Indices = std::move(KeptIndices);
  Config = Newer;
  Config.Targets.clear();
  if (SameTargets)
    return;
  Fleet.setTargets(Targets.size());
  Verdicts.assign(Targets.size(), {});
}

target_state *service_state::find(std::string_view Target) {
  const auto Found = Indices.find(common::toAbsl(Target));
  return Found == Indices.end() ? nullptr : &Targets[Found->second];
}

service_state::preference
service_state::preferenceOf(const target_state &Target,
                            absl::Span<const std::string> Excluded,
                            boot_time Now) const {
  if (!Target.hasFreeSlot() || contains(Excluded, Target.config().Name))
    return preference::None;
  if (Target.health() == health_state::Avoided)
    return preference::Avoided;
  return Target.busy(Now) ? preference::Busy : preference::First;
}

bool service_state::better(const target_state &A, const target_state &B,
                           bool PreferNear) const {
  // Compares requests in flight per slot without a division.
  const uint64_t LoadA = uint64_t{A.inFlight()} * B.config().Slots;
  const uint64_t LoadB = uint64_t{B.inFlight()} * A.config().Slots;
  if (LoadA != LoadB)
    return LoadA < LoadB;
  const bool NearA = A.config().FailureDomain == Self.FailureDomain;
  const bool NearB = B.config().FailureDomain == Self.FailureDomain;
  if (PreferNear && NearA != NearB)
    return NearA;
  return A.reportedLoad() < B.reportedLoad();
}

std::optional<choice>
service_state::choose(absl::Span<const std::string> Excluded, uint64_t Random,
                      boot_time Now) {
  evaluate(Now);
  const bool PreferNear = (Random >> 32) % ChoicesPerDomainBlindOne != 0;
  target_state *Best = nullptr;
  preference BestPreference = preference::None;
  const size_t Count = Targets.size();
  for (size_t Checked = 0; Checked < Count; ++Checked) {
    // Examines the targets from a random start. In a large service it stops
    // after SampledCandidates once a target of the first preference is found.
    if (Checked >= SampledCandidates && BestPreference == preference::First)
      break;
    target_state &Target = Targets[(Random + Checked) % Count];
    const preference Preference = preferenceOf(Target, Excluded, Now);
    if (Preference == preference::None || Preference > BestPreference)
      continue;
    if (Preference < BestPreference || better(Target, *Best, PreferNear)) {
      Best = &Target;
      BestPreference = Preference;
    }
  }
  if (Best == nullptr)
    return std::nullopt;
  const uint64_t Attempt = ++LastAttempt;
  Best->begin(Attempt, Now);
  return choice{Config.Name, Best->config().Name, Best->config().Address,
                Best->config().FailureDomain, Attempt};
}

void service_state::finish(const choice &Choice, const observation &Observation,
                           boot_time Now) {
  target_state *Target = find(Choice.Target);
  if (Target == nullptr || Target->config().Address != Choice.Address)
    return;
  const boot_time StartedAt = Target->end(Choice.Attempt, boot_time::min());
  Target->observe(Observation.Outcome, Observation.Latency, MedianLatency,
                  StartedAt, Now, Settings);
  if (Observation.Drain)
    Target->reportDrain(Observation.Drain->Draining,
                        Observation.Drain->Incarnation, StartedAt, Now);
  if (Observation.ReportedLoad)
    Target->reportLoad(*Observation.ReportedLoad);
  evaluate(Now);
}

void service_state::cancel(const choice &Choice, boot_time Now) {
  target_state *Target = find(Choice.Target);
  if (Target != nullptr)
    Target->end(Choice.Attempt, Now);
}

void service_state::reportDrain(std::string_view Name,
                                const drain_report &Report, boot_time SentAt,
                                boot_time Now) {
  if (target_state *Target = find(Name))
    Target->reportDrain(Report.Draining, Report.Incarnation, SentAt, Now);
}

duration service_state::stallAge() const {
  const auto Multiple = static_cast<int64_t>(
      Settings.StallRatio * static_cast<double>(MedianLatency.count()));
  return std::max(Settings.StallAge, duration(Multiple));
}

std::vector<evidence_summary> service_state::summaries(boot_time Now) const {
  const duration StallAge = stallAge();
  std::vector<evidence_summary> Summaries;
  Summaries.reserve(Targets.size());
  for (const target_state &Target : Targets)
    Summaries.push_back(Target.summarize(StallAge, Now, Settings));
  return Summaries;
}

void service_state::evaluate(boot_time Now) {
  // An ejection must expire on time, also between two evaluations.
  const bool Expired = !Ejections.empty() && Now >= EjectionsUntil;
  if (!Expired && Now - EvaluatedAt < Settings.EvaluationPeriod)
    return;
  EvaluatedAt = Now;
  const std::vector<evidence_summary> Own = summaries(Now);
  MedianLatency = medianLatency(Own);
  Verdicts = Fleet.judge(Self.FailureDomain, Own, Now, Settings);
  for (target_state &Target : Targets)
    Target.advance(Now, Settings);
  applyEjections(Now);
  enforceFloor(Now);
  avoidOutliers(Own, Now);
}

void service_state::applyEjections(boot_time Now) {
  if (Now >= EjectionsUntil)
    Ejections.clear();
  // Truncates the list where the floor over this instance's live targets no
  // longer allows more, so that each instance ejects the first targets of the
  // same list.
  const uint32_t Allowed = ejectableSlots(liveSlots(), Config.Floor);
  std::vector<std::string_view> InForce;
  uint32_t Slots = 0;
  for (const std::string &Name : Ejections) {
    const target_state *Target = find(Name);
    if (Target == nullptr || Target->draining())
      continue;
    Slots += Target->config().Slots;
    if (Slots > Allowed)
      break;
    InForce.push_back(Name);
  }
  for (target_state &Target : Targets) {
    const std::string &Name = Target.config().Name;
    const bool Ejected =
        std::find(InForce.begin(), InForce.end(), Name) != InForce.end();
    Target.setEjected(Ejected, Now, Settings);
  }
}

void service_state::enforceFloor(boot_time Now) {
  const uint32_t Allowed = ejectableSlots(liveSlots(), Config.Floor);
  uint32_t Unused = unusedSlots();
  std::vector<target_state *> LowestScoreFirst;
  for (target_state &Target : Targets)
    if (Target.health() == health_state::Avoided)
      LowestScoreFirst.push_back(&Target);
  std::stable_sort(LowestScoreFirst.begin(), LowestScoreFirst.end(),
                   [](const target_state *A, const target_state *B) {
                     return A->score() < B->score();
                   });
  for (target_state *Target : LowestScoreFirst) {
    if (Unused <= Allowed)
      return;
    Target->release(Now);
    Unused -= Target->config().Slots;
  }
}

void service_state::avoidOutliers(absl::Span<const evidence_summary> Own,
                                  boot_time Now) {
  const std::vector<double> Scores = outlierScores(Own, Settings);
  const std::vector<double> ReturnScores =
      outlierScores(Own, strictForReturn(Settings));
  std::vector<size_t> Outliers;
  for (size_t I = 0; I < Targets.size(); ++I) {
    target_state &Target = Targets[I];
    const health_state Health = Target.health();
    // A returning target is judged by this instance's own evidence only.
    const bool Returning = Health == health_state::Returning;
    const double Score =
        Returning ? ReturnScores[I] : std::max(Scores[I], Verdicts[I].Score);
    const bool Outlier =
        Score >= 1 && (Returning || Scores[I] >= 1 || Verdicts[I].Bad);
    if (Health == health_state::Healthy || Returning)
      Target.setScore(Score);
    if (Outlier && (Health == health_state::Healthy || Returning))
      Outliers.push_back(I);
  }
  std::stable_sort(Outliers.begin(), Outliers.end(), [&](size_t A, size_t B) {
    return Targets[A].score() > Targets[B].score();
  });
  const uint32_t Allowed = ejectableSlots(liveSlots(), Config.Floor);
  uint32_t Unused = unusedSlots();
  for (const size_t I : Outliers) {
    target_state &Target = Targets[I];
    if (Unused + Target.config().Slots > Allowed)
      continue;
    Unused += Target.config().Slots;
    const bool LinkOnly = !Verdicts[I].Bad && Verdicts[I].WorksForOthers;
    Target.avoid(LinkOnly ? avoid_reason::LinkBad : avoid_reason::TargetBad,
                 Now, Settings);
  }
}

uint32_t service_state::liveSlots() const {
  uint32_t Slots = 0;
  for (const target_state &Target : Targets)
    Slots += Target.draining() ? 0 : Target.config().Slots;
  return Slots;
}

uint32_t service_state::unusedSlots() const {
  uint32_t Slots = 0;
  for (const target_state &Target : Targets) {
    const health_state Health = Target.health();
    if (Health == health_state::Avoided || Health == health_state::Ejected)
      Slots += Target.config().Slots;
  }
  return Slots;
}

void service_state::beginReport(const digest &Digest, boot_time Now) {
  Fleet.beginReport(Digest.Instance, Digest.FailureDomain, Now);
}

void service_state::addReport(std::string_view Instance,
                              const target_report &Report, boot_time Now) {
  const auto Found = Indices.find(Report.Target);
  if (Found == Indices.end())
    return;
  Fleet.addEvidence(Instance, Found->second, Report.Evidence);
  Targets[Found->second].mergeDrain(Report.Drain, Now);
}

void service_state::setEjections(absl::Span<const std::string> Names,
                                 boot_time Until, boot_time Now) {
  if (Until <= Now)
    return;
  Ejections.assign(Names.begin(), Names.end());
  EjectionsUntil = Until;
  EvaluatedAt = boot_time();
  evaluate(Now);
}

std::vector<std::string> service_state::decide(duration Term, boot_time Now) {
  evaluate(Now);
  std::vector<ejection_candidate> Candidates;
  Candidates.reserve(Targets.size());
  for (size_t I = 0; I < Targets.size(); ++I)
    Candidates.push_back({Targets[I].config().Name, Targets[I].config().Slots,
                          !Targets[I].draining(), Verdicts[I].Bad,
                          Verdicts[I].Score});
  std::vector<std::string> List =
      Planner.publish(Candidates, Config.Floor, Term, Now);
  setEjections(List, Now + Term, Now);
  return List;
}

void service_state::appendReports(std::vector<target_report> &Reports,
                                  boot_time Now) const {
  const std::vector<evidence_summary> Own = summaries(Now);
  for (size_t I = 0; I < Targets.size(); ++I) {
    const drain_mark &Mark = Targets[I].drainMark();
    if (Own[I].Weight >= MinReportedWeight || Mark != drain_mark())
      Reports.push_back({Config.Name, Targets[I].config().Name, Own[I], Mark});
  }
}

void service_state::appendStatus(std::vector<target_status> &Status,
                                 boot_time Now) const {
  const std::vector<evidence_summary> Own = summaries(Now);
  for (size_t I = 0; I < Targets.size(); ++I) {
    const target_state &Target = Targets[I];
    const duration Latency(Own[I].Responses > 0
                               ? std::llround(std::exp(Own[I].meanLogLatency()))
                               : 0);
    Status.push_back({Config.Name, Target.config().Name,
                      Target.config().Address, Target.health(), Target.reason(),
                      Target.inFlight(), Target.config().Slots,
                      Own[I].faultRate(), Latency, Target.score()});
  }
}

void service_state::appendProbes(std::vector<choice> &Probes, boot_time Now) {
  for (target_state &Target : Targets)
    if (Target.probeDue(Now, Settings))
      Probes.push_back({Config.Name, Target.config().Name,
                        Target.config().Address, Target.config().FailureDomain,
                        0});
}

} // namespace magnolia::target
