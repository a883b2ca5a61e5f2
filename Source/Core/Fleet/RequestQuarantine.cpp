#include "Fleet/RequestQuarantine.h"

#include <algorithm>

namespace magnolia::fleet {
namespace {

/// Runs that are kept of a request; enough for the longest quarantine.
constexpr size_t MaxRuns = 16;

uint32_t millisBetween(boot_time From, boot_time To) {
  const auto Millis = std::chrono::duration_cast<std::chrono::milliseconds>(
      std::max<duration>(To - From, duration::zero()));
  return static_cast<uint32_t>(Millis.count());
}

} // namespace

bool request_quarantine::isInnocent(const suspect &Suspect,
                                    const ended_run &Run) const {
  return Suspect.CompletedAt != boot_time() &&
         Run.EndedAt <= Suspect.CompletedAt + Settings.InnocentTime;
}

bool request_quarantine::add(suspect &Suspect, const ended_run &Run) const {
  if (isInnocent(Suspect, Run))
    return false;
  // A target is blamed on a request once. A run that counts for nothing, since
  // it overlaps others, gives way to a later one.
  const auto Known = std::find_if(
      Suspect.Runs.begin(), Suspect.Runs.end(),
      [&](const ended_run &Each) { return Each.Target == Run.Target; });
  if (Known != Suspect.Runs.end()) {
    if (Run.SentAt < Known->EndedAt + Settings.ReportDelay ||
        counts(Suspect, *Known))
      return false;
    Suspect.Runs.erase(Known);
  }
  const auto Later = std::find_if(
      Suspect.Runs.begin(), Suspect.Runs.end(),
      [&](const ended_run &Each) { return Each.EndedAt > Run.EndedAt; });
  Suspect.Runs.insert(Later, Run);
  if (Suspect.Runs.size() > MaxRuns)
    Suspect.Runs.erase(Suspect.Runs.begin());
  return true;
}

bool request_quarantine::complete(suspect &Suspect,
                                  boot_time CompletedAt) const {
  if (CompletedAt <= Suspect.CompletedAt)
    return false;
  Suspect.CompletedAt = CompletedAt;
  Suspect.RestoredUntil = boot_time();
  std::erase_if(Suspect.Runs,
                [&](const ended_run &Run) { return isInnocent(Suspect, Run); });
  return true;
}

void request_quarantine::rememberCompleted(uint64_t Fingerprint,
                                           boot_time Now) {
  Completed[Fingerprint] = Now;
  CompletedOrder.emplace_back(Now, Fingerprint);
  while (CompletedOrder.size() > Settings.MaxCompleted ||
         Now - CompletedOrder.front().first > Settings.InnocentTime) {
    const auto [At, Oldest] = CompletedOrder.front();
    CompletedOrder.pop_front();
    if (const auto Found = Completed.find(Oldest);
        Found != Completed.end() && Found->second == At)
      Completed.erase(Found);
  }
}

std::vector<const ended_run *>
request_quarantine::successiveRuns(const suspect &Suspect) {
  std::vector<const ended_run *> Successive;
  for (const ended_run &Run : Suspect.Runs)
    if (Successive.empty() || Run.SentAt >= Successive.back()->EndedAt)
      Successive.push_back(&Run);
  return Successive;
}

bool request_quarantine::counts(const suspect &Suspect, const ended_run &Run) {
  const auto Successive = successiveRuns(Suspect);
  return std::find(Successive.begin(), Successive.end(), &Run) !=
         Successive.end();
}

boot_time request_quarantine::quarantineEnd(const suspect &Suspect) const {
  const size_t Count = successiveRuns(Suspect).size();
  if (Count < Settings.EndedTargets)
    return Suspect.RestoredUntil;
  duration Term = Settings.FirstTerm;
  for (size_t Extra = Settings.EndedTargets;
       Extra < Count && Term < Settings.MaxTerm; ++Extra)
    Term *= 2;
  return std::max(Suspect.RestoredUntil, Suspect.Runs.back().EndedAt +
                                             std::min(Term, Settings.MaxTerm));
}

void request_quarantine::forgetOldest() {
  const auto Oldest = std::min_element(Suspects.begin(), Suspects.end(),
                                       [](const auto &Left, const auto &Right) {
                                         return Left.second.LastChange <
                                                Right.second.LastChange;
                                       });
  if (Oldest != Suspects.end())
    Suspects.erase(Oldest);
}

request_quarantine::suspect &request_quarantine::suspectOf(uint64_t Fingerprint,
                                                           boot_time Now) {
  if (!Suspects.contains(Fingerprint) &&
      Suspects.size() >= Settings.MaxRequests)
    forgetOldest();
  const auto [Found, IsNew] = Suspects.try_emplace(Fingerprint);
  suspect &Suspect = Found->second;
  Suspect.LastChange = Now;
  if (const auto Known = Completed.find(Fingerprint);
      IsNew && Known != Completed.end())
    Suspect.CompletedAt = Known->second;
  return Suspect;
}

bool request_quarantine::recordEnded(uint64_t Fingerprint, const ended_run &Run,
                                     boot_time Now) {
  suspect &Suspect = suspectOf(Fingerprint, Now);
  const bool Before = quarantineEnd(Suspect) > Now;
  if (!add(Suspect, Run))
    return false;
  Suspect.Changed.fill(true);
  return !Before && quarantineEnd(Suspect) > Now;
}

bool request_quarantine::recordCompleted(uint64_t Fingerprint, boot_time Now) {
  rememberCompleted(Fingerprint, Now);
  const auto Found = Suspects.find(Fingerprint);
  if (Found == Suspects.end())
    return false;
  suspect &Suspect = Found->second;
  const bool WasQuarantined = quarantineEnd(Suspect) > Now;
  const bool WasSuspected = WasQuarantined || !Suspect.Runs.empty();
  // Peers need not hear of each completion.
  if (complete(Suspect, Now) && WasSuspected)
    Suspect.Changed.fill(true);
  return WasQuarantined;
}

void request_quarantine::apply(const suspect_report &Report, boot_time Now) {
  const auto TimeOf = [Now](uint32_t AgeMs) {
    return Now - std::chrono::milliseconds(AgeMs);
  };
  suspect &Suspect = suspectOf(Report.Fingerprint, Now);
  if (Report.CompletedAgeMs)
    complete(Suspect, TimeOf(*Report.CompletedAgeMs));
  for (const suspect_report::run &Run : Report.Runs) {
    const boot_time EndedAt = TimeOf(Run.AgeMs);
    const ended_run Ended = {
        Run.Target, EndedAt - std::chrono::milliseconds(Run.RanMs), EndedAt};
    // The peer does not know of the completion.
    if (!add(Suspect, Ended) && isInnocent(Suspect, Ended))
      Suspect.Changed.fill(true);
  }
}

void request_quarantine::restore(uint64_t Fingerprint, boot_time Until,
                                 boot_time Now) {
  if (Until <= Now)
    return;
  suspect &Suspect = suspectOf(Fingerprint, Now);
  Suspect.RestoredUntil =
      std::max(Suspect.RestoredUntil,
               std::min<boot_time>(Until, Now + Settings.MaxTerm));
}

std::optional<boot_time>
request_quarantine::quarantinedUntil(uint64_t Fingerprint,
                                     boot_time Now) const {
  const auto Found = Suspects.find(Fingerprint);
  if (Found == Suspects.end())
    return std::nullopt;
  const boot_time End = quarantineEnd(Found->second);
  return End > Now ? std::optional(End) : std::nullopt;
}

size_t request_quarantine::endedTargets(uint64_t Fingerprint) const {
  const auto Found = Suspects.find(Fingerprint);
  return Found == Suspects.end() ? 0 : successiveRuns(Found->second).size();
}

size_t request_quarantine::quarantinedCount(boot_time Now) const {
  return static_cast<size_t>(
      std::count_if(Suspects.begin(), Suspects.end(), [&](const auto &Entry) {
        return quarantineEnd(Entry.second) > Now;
      }));
}

suspect_report request_quarantine::reportOf(uint64_t Fingerprint,
                                            const suspect &Suspect,
                                            boot_time Now) {
  suspect_report Report;
  Report.Fingerprint = Fingerprint;
  if (Suspect.CompletedAt != boot_time())
    Report.CompletedAgeMs = millisBetween(Suspect.CompletedAt, Now);
  for (const ended_run &Run : Suspect.Runs)
    Report.Runs.push_back({Run.Target, millisBetween(Run.SentAt, Run.EndedAt),
                           millisBetween(Run.EndedAt, Now)});
  return Report;
}

std::vector<suspect_report>
request_quarantine::collectReports(audience Audience, bool Everything,
                                   boot_time Now) {
  std::vector<suspect_report> Reports;
  std::map<uint64_t, const suspect *> Quarantined;
  for (auto &[Fingerprint, Suspect] : Suspects) {
    bool &Changed = Suspect.Changed.at(static_cast<size_t>(Audience));
    if (Changed && Reports.size() < Settings.MaxReported) {
      Changed = false;
      Reports.push_back(reportOf(Fingerprint, Suspect, Now));
    } else if (Everything && !Suspect.Runs.empty() &&
               quarantineEnd(Suspect) > Now) {
      Quarantined[Fingerprint] = &Suspect;
    }
  }
  // Each full update goes on where the last one ended.
  auto Next = Quarantined.upper_bound(ReportedUpTo);
  for (size_t Count = 0; Count < Quarantined.size(); ++Count, ++Next) {
    if (Reports.size() >= Settings.MaxReported)
      break;
    if (Next == Quarantined.end())
      Next = Quarantined.begin();
    Reports.push_back(reportOf(Next->first, *Next->second, Now));
    ReportedUpTo = Next->first;
  }
  return Reports;
}

void request_quarantine::advance(boot_time Now) {
  absl::erase_if(Suspects, [&](const auto &Entry) {
    const boot_time Since =
        std::max(Entry.second.LastChange, quarantineEnd(Entry.second));
    return Now - Since >= Settings.MemoryTime;
  });
}

} // namespace magnolia::fleet
