#pragma once

#include <vector>

#include <absl/types/span.h>

#include "Target/Evidence.h"

namespace magnolia::target {

/// Outlier score of each target of a service. A score of 1 or more marks an
/// outlier; the higher, the worse. Each target is compared with the median of
/// all, so that a slowdown or failure common to all marks none.
std::vector<double> outlierScores(absl::Span<const evidence_summary> Targets,
                                  const settings &Settings);

/// The median latency of the targets that responded; zero if none did.
duration medianLatency(absl::Span<const evidence_summary> Targets);

} // namespace magnolia::target
