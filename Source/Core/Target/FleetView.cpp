#include "Target/FleetView.h"

#include <algorithm>
#include <map>

#include "Common/StringView.h"
#include "Target/Outlier.h"

namespace magnolia::target {
namespace {

using summaries = absl::Span<const evidence_summary>;

/// Failure domains that must agree before a target counts as bad.
constexpr size_t DomainsToAgree = 2;

/// Age at which the report of a silent instance is discarded.
constexpr duration ForgetReportAfter = std::chrono::minutes(1);

/// Evidence of one failure domain: per target the sum over its observers except
/// the most suspicious one, whose own link may be at fault. The evidence of a
/// single observer is used unchanged.
std::vector<evidence_summary>
sumWithoutWorst(const std::vector<summaries> &Observers, size_t TargetCount) {
  std::vector<evidence_summary> Sums(TargetCount);
  for (size_t Target = 0; Target < TargetCount; ++Target) {
    std::vector<evidence_summary> Seen;
    for (const summaries &Observer : Observers)
      if (Observer[Target].Weight > 0)
        Seen.push_back(Observer[Target]);
    std::sort(Seen.begin(), Seen.end(), [](const auto &A, const auto &B) {
      return A.Suspicion < B.Suspicion;
    });
    if (Seen.size() > 1)
      Seen.pop_back();
    for (const evidence_summary &Each : Seen)
      Sums[Target].add(Each);
  }
  return Sums;
}

/// Number of failure domains that judged a target as bad or good.
struct votes {
  size_t Bad = 0;
  size_t Good = 0;
  double Score = 0;
};

void addVotes(const std::vector<evidence_summary> &Sums,
              const settings &Settings, std::vector<votes> &Votes) {
  const std::vector<double> Scores = outlierScores(Sums, Settings);
  for (size_t Target = 0; Target < Votes.size(); ++Target) {
    if (Scores[Target] < 1) {
      Votes[Target].Good += Sums[Target].Weight >= Settings.MinimumWeight;
      continue;
    }
    ++Votes[Target].Bad;
    Votes[Target].Score += Scores[Target];
  }
}

} // namespace

void fleet_view::setTargets(size_t Count) {
  TargetCount = Count;
  Reports.clear();
}

void fleet_view::beginReport(std::string_view Instance,
                             std::string_view FailureDomain, boot_time Now) {
  if (!Reports.contains(common::toAbsl(Instance)))
    absl::erase_if(Reports, [&](const auto &Item) {
      return Now - Item.second.ReceivedAt > ForgetReportAfter;
    });
  Reports[common::toAbsl(Instance)] = {
      std::string(FailureDomain), Now,
      std::vector<evidence_summary>(TargetCount)};
}

void fleet_view::addEvidence(std::string_view Instance, size_t Target,
                             const evidence_summary &Evidence) {
  const auto Found = Reports.find(common::toAbsl(Instance));
  if (Found != Reports.end() && Target < Found->second.Targets.size())
    Found->second.Targets[Target] = Evidence;
}

std::vector<fleet_verdict> fleet_view::judge(std::string_view OwnFailureDomain,
                                             summaries Own, boot_time Now,
                                             const settings &Settings) const {
  std::map<std::string_view, std::vector<summaries>> Domains;
  Domains[OwnFailureDomain].push_back(Own);
  for (const auto &[Instance, Report] : Reports)
    if (Now - Report.ReceivedAt <= Settings.DigestLifetime)
      Domains[Report.FailureDomain].push_back(Report.Targets);

  std::vector<votes> Votes(TargetCount);
  for (const auto &[Domain, Observers] : Domains)
    addVotes(sumWithoutWorst(Observers, TargetCount), Settings, Votes);

  std::vector<fleet_verdict> Verdicts(TargetCount);
  // In a fleet of one failure domain no second one can agree; there the
  // evidence without the most suspicious observer decides.
  const bool SingleDomain =
      Domains.size() == 1 && Domains.begin()->second.size() > 1;
  const size_t Needed = SingleDomain ? 1 : DomainsToAgree;
  for (size_t Target = 0; Target < TargetCount; ++Target) {
    Verdicts[Target].Bad = Votes[Target].Bad >= Needed;
    Verdicts[Target].WorksForOthers = Votes[Target].Good > 0;
    Verdicts[Target].Score = Votes[Target].Score;
  }
  return Verdicts;
}

} // namespace magnolia::target
