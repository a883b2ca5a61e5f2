#pragma once

#include <vector>

#include <absl/types/span.h>

#include "Target/Evidence.h"

namespace magnolia::target {

/// How far each target of a service stands out from the others. At 1 and above
/// it is an outlier; the larger, the worse. Each target is compared with the
/// median of all, so that a slowdown or a failure that all share marks none.
std::vector<double> outlierScores(absl::Span<const evidence_summary> Targets,
                                  const settings &Settings);

/// The median latency of the targets that answered; zero if none did.
duration medianLatency(absl::Span<const evidence_summary> Targets);

} // namespace magnolia::target
