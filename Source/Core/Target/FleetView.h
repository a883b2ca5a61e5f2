#pragma once

#include <string>
#include <string_view>
#include <vector>

#include <absl/container/flat_hash_map.h>
#include <absl/types/span.h>

#include "Target/Evidence.h"

namespace magnolia::target {

/// The combined judgement of a fleet's instances on one target.
struct fleet_verdict {
  /// Instances in several failure domains see the target as an outlier.
  bool Bad = false;
  /// At least one failure domain, judged without its most suspicious observer,
  /// sees it work.
  bool WorksForOthers = false;
  /// Sum of the scores of the failure domains that see the target as an
  /// outlier.
  double Score = 0;
};

/// Peers' evidence about the targets of one service. Distinguishes a bad target
/// from a bad link: a failure that only one instance or one failure domain sees
/// is attributed to its link. Targets are identified by their index in the
/// service.
class fleet_view {
public:
  /// Discards all evidence and sets the number of targets to \p Count.
  void setTargets(size_t Count);

  /// Starts a new report by \p Instance that replaces its previous one.
  void beginReport(std::string_view Instance, std::string_view FailureDomain,
                   boot_time Now);

  /// Adds \p Instance's evidence of one target to the report it began last.
  void addEvidence(std::string_view Instance, size_t Target,
                   const evidence_summary &Evidence);

  /// Judges all targets by this instance's evidence and by peers' evidence that
  /// is not older than the digest lifetime.
  std::vector<fleet_verdict> judge(std::string_view OwnFailureDomain,
                                   absl::Span<const evidence_summary> Own,
                                   boot_time Now,
                                   const settings &Settings) const;

private:
  struct report {
    std::string FailureDomain;
    boot_time ReceivedAt;
    std::vector<evidence_summary> Targets;
  };

  size_t TargetCount = 0;
  absl::flat_hash_map<std::string, report> Reports;
};

} // namespace magnolia::target
