#pragma once

#include "Admission/LimitRule.h"

namespace magnolia::benchmarks {

/// Scales the limit by the ratio of slow to fast latency, with a constant
/// allowance for queueing at the target; a refusal counts as a latency that
/// doubled. The alternative to additiveIncreaseRule().
admission::limit_rule gradientRule();

} // namespace magnolia::benchmarks
