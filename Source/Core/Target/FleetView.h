#pragma once

#include <string>
#include <string_view>
#include <vector>

#include <absl/container/flat_hash_map.h>
#include <absl/types/span.h>

#include "Target/Evidence.h"

namespace magnolia::target {

/// What the instances of a fleet say together about one target.
struct fleet_verdict {
  /// Instances in several failure domains see an outlier: the target is bad.
  bool Bad = false;
  /// Instances of another failure domain, or others of one's own, see it work.
  bool WorksForOthers = false;
  /// Sum of the scores of the failure domains that see an outlier.
  double Score = 0;
};

/// Peers' evidence about the targets of one service. Tells a bad target from a
/// bad link: a failure that one instance or one failure domain alone sees is
/// one of its link. Targets are named by their index in the service.
class fleet_view {
public:
  /// Forgets all evidence and expects \p Count targets.
  void setTargets(size_t Count);

  /// Starts a new report of \p Instance that replaces its last one.
  void beginReport(std::string_view Instance, std::string_view FailureDomain,
                   boot_time Now);

  /// Adds what \p Instance says of one target to the report begun last.
  void addEvidence(std::string_view Instance, size_t Target,
                   const evidence_summary &Evidence);

  /// Judges all targets by one's own evidence and that of peers which is not
  /// older than the digest lifetime.
  std::vector<fleet_verdict> judge(std::string_view OwnFailureDomain,
                                   absl::Span<const evidence_summary> Own,
                                   boot_time Now,
                                   const settings &Settings) const;

private:
  struct report {
    std::string FailureDomain;
    boot_time Received;
    std::vector<evidence_summary> Targets;
  };

  size_t TargetCount = 0;
  absl::flat_hash_map<std::string, report> Reports;
};

} // namespace magnolia::target
