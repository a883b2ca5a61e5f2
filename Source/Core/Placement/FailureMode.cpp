#include "Placement/FailureMode.h"

#include <algorithm>

namespace magnolia::placement {
namespace {

/// Factor by which each failure reduces the weight of the earlier ones: it
/// counts for about the next thirty.
constexpr double Retention = 0.97;
/// Failures that must be outweighed before targets are thought to hang. Healthy
/// targets, too, need longer than the deadline for a request now and then.
constexpr double PriorResets = 3;
/// Weight of one response in the fraction of late ones: about the last hundred
/// count.
constexpr double ResponseWeight = 0.01;
constexpr double MinLateFraction = 0.03;

} // namespace

void failure_mode::observe(bool AfterAcceptance) {
  Resets *= Retention;
  Hangs *= Retention;
  (AfterAcceptance ? Hangs : Resets) += 1;
}

void failure_mode::observeResponse(bool Late) {
  LateFraction += ResponseWeight * ((Late ? 1.0 : 0.0) - LateFraction);
  LateFraction = std::max(LateFraction, MinLateFraction);
}

bool failure_mode::targetsHang() const { return Hangs > PriorResets + Resets; }

} // namespace magnolia::placement
