#include "Fleet/TargetLimits.h"

#include <algorithm>

namespace magnolia::fleet {

bool target_limits::state(placement::target_key Target,
                          std::optional<double> PerSecond, boot_time SaidAt) {
  if (!PerSecond && !Limits.contains(Target))
    return false;
  limit &Limit = Limits[Target];
  if (SaidAt < Limit.SaidAt)
    return false;
  const bool Changed = Limit.PerSecond != PerSecond;
  Limit.PerSecond = PerSecond;
  Limit.SaidAt = SaidAt;
  if (Changed || !Limit.Heard)
    Limit.Changed.fill(true);
  Limit.Heard = true;
  return Changed;
}

bool target_limits::statePeer(const limit_report &Report, uint64_t Growth,
                              boot_time Now) {
  const boot_time SaidAt = Now - std::chrono::milliseconds(Report.AgeMs);
  if (!Report.PerSecond && !Limits.contains(Report.Target))
    return false;
  limit &Limit = Limits[Report.Target];
  Limit.Requests.chargePeers(Uses, static_cast<double>(Growth), Now);
  if (SaidAt < Limit.SaidAt)
    return false;
  const bool Changed = Limit.PerSecond != Report.PerSecond;
  Limit.PerSecond = Report.PerSecond;
  Limit.SaidAt = SaidAt;
  return Changed;
}

std::optional<double>
target_limits::limitOf(placement::target_key Target) const {
  const auto Found = Limits.find(Target);
  return Found == Limits.end() ? std::nullopt : Found->second.PerSecond;
}

double target_limits::boundOf(const limit &Limit) const {
  const double Seconds = std::chrono::duration<double>(Settings.Window).count();
  return std::max(*Limit.PerSecond, Settings.MinPerSecond) * Seconds;
}

std::vector<placement::target_key>
target_limits::exhausted(const fleet_part &Fleet, boot_time Now) const {
  std::vector<placement::target_key> Targets;
  for (const auto &[Target, Limit] : Limits)
    if (Limit.PerSecond &&
        !Limit.Requests.decide(Uses, Target, boundOf(Limit), Fleet, Now)
             .Granted)
      Targets.push_back(Target);
  return Targets;
}

bool target_limits::tryUse(placement::target_key Target,
                           const fleet_part &Fleet, boot_time Now) {
  const auto Found = Limits.find(Target);
  if (Found == Limits.end() || !Found->second.PerSecond)
    return true;
  limit &Limit = Found->second;
  if (!Limit.Requests.tryUse(Uses, Target, boundOf(Limit), Fleet, Now).Granted)
    return false;
  ++Limit.OwnRequests;
  Limit.Changed.fill(true);
  return true;
}

std::vector<limit_report> target_limits::collectReports(audience Audience,
                                                        bool Everything,
                                                        boot_time Now) {
  std::vector<limit_report> Reports;
  for (auto &[Target, Limit] : Limits) {
    bool &Changed = Limit.Changed.at(static_cast<size_t>(Audience));
    if (!Changed && !(Everything && Limit.Heard))
      continue;
    Changed = false;
    const auto Age = std::chrono::duration_cast<std::chrono::milliseconds>(
        std::max<duration>(Now - Limit.SaidAt, duration::zero()));
    Reports.push_back({Target, Limit.PerSecond,
                       static_cast<uint32_t>(Age.count()), Limit.OwnRequests});
  }
  return Reports;
}

void target_limits::advance(boot_time Now) {
  absl::erase_if(Limits, [&](const auto &Entry) {
    return Now - Entry.second.SaidAt >
           (Entry.second.PerSecond ? Settings.MaxAge : Settings.EndedMaxAge);
  });
}

size_t target_limits::limitedCount() const {
  return static_cast<size_t>(
      std::count_if(Limits.begin(), Limits.end(), [](const auto &Entry) {
        return Entry.second.PerSecond.has_value();
      }));
}

} // namespace magnolia::fleet
