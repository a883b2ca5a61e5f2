#include "Placement/ToldLoad.h"

#include <algorithm>
#include <cmath>

namespace magnolia::placement {
namespace {

/// A target that tells more requests than this for each of its slots counts as
/// telling this many: more makes no difference to a choice.
constexpr uint32_t MaxToldPerSlot = 16;
/// Bounds of the mean time of requests: the load that a target tells is used
/// for some time in any case, and forgotten soon in any case.
constexpr std::chrono::milliseconds MinServiceTime{20};
constexpr std::chrono::milliseconds MaxServiceTime{1000};
/// Weight of one response in the mean time.
constexpr double ResponseWeight = 0.05;

} // namespace

void load_estimate::tell(const std::optional<told_load> &Load,
                         uint32_t OwnInFlight, boot_time ReceivedAt) {
  Told = Load.has_value();
  if (!Load)
    return;
  const uint32_t Most = MaxToldPerSlot * std::max<uint32_t>(Load->Slots, 1);
  const uint32_t Requests = std::min(Load->requests(), Most);
  Others = Requests - std::min(Requests, OwnInFlight);
  ToldAt = ReceivedAt;
}

void load_estimate::refuse(boot_time Until) {
  FullUntil = std::max(FullUntil, Until);
}

std::optional<duration> load_estimate::age(boot_time Now) const {
  if (!Told)
    return std::nullopt;
  return Now - ToldAt;
}

double load_estimate::othersAt(boot_time Now, uint32_t Reported,
                               duration ServiceTime) const {
  if (!Told)
    return Reported;
  const double Elapsed = std::chrono::duration<double>(Now - ToldAt) /
                         std::chrono::duration<double>(ServiceTime);
  const double Weight = std::exp(-std::max(Elapsed, 0.0));
  return Weight * Others + (1 - Weight) * Reported;
}

void service_time::observe(duration Took) {
  const auto Bounded =
      std::clamp<duration>(Took, MinServiceTime, MaxServiceTime);
  const std::chrono::duration<double> Change = Bounded - Mean;
  Mean += std::chrono::duration_cast<duration>(ResponseWeight * Change);
}

} // namespace magnolia::placement
