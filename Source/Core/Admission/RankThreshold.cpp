#include "Admission/RankThreshold.h"

#include <algorithm>
#include <numeric>

namespace magnolia::admission {
namespace {

using common::boot_time;

double sumOf(const std::vector<double> &Values) {
  return std::accumulate(Values.begin(), Values.end(), 0.0);
}

double secondsOf(std::chrono::microseconds Duration) {
  return std::chrono::duration<double>(Duration).count();
}

} // namespace

double service_load::freeFraction() const {
  return Slots == 0 ? 1 : static_cast<double>(FreeSlots) / Slots;
}

double service_load::refusedFraction() const {
  const double Sent = TakenPerSecond + RefusedPerSecond;
  return Sent > 0 ? RefusedPerSecond / Sent : 0;
}

bool rank_threshold::isPressed(const service_load &Load) const {
  const double Free = Load.freeFraction();
  return Free <= Settings.UsedUpFraction ||
         (Free <= Settings.TightFraction &&
          Load.refusedFraction() >= Settings.RefusedFraction);
}

void rank_threshold::update(const service_load &Load, boot_time Now) {
  if (!Short && isPressed(Load))
    begin(Load, Now);
  else if (Short && Now - LastStep >= Settings.Period)
    step(Load, Now);
  if (Short)
    shareOut(Load.Demand);
}

/// What targets took lately was asked before the shortage and may be less than
/// they can take.
void rank_threshold::begin(const service_load &Load, boot_time Now) {
  Short = true;
  ShortSince = Now;
  LastPressed = Now;
  LastStep = Now;
  const double SlotTime = secondsOf(Load.SlotTime);
  const double Possible = SlotTime > 0 ? Load.Slots / SlotTime : 0;
  Admitted = std::max(Settings.Headroom * Load.TakenPerSecond, Possible);
}

void rank_threshold::step(const service_load &Load, boot_time Now) {
  LastStep = Now;
  if (isPressed(Load)) {
    LastPressed = Now;
    if (Now - ShortSince >= Settings.Settling)
      Admitted = std::min(Admitted, Settings.Headroom * Load.TakenPerSecond);
    Admitted = std::max(Admitted, Settings.MinPerSlot * Load.Slots);
    return;
  }
  Admitted *= Load.freeFraction() > Settings.RoomyFraction
                  ? Settings.RoomyGrowth
                  : Settings.Growth;
  if (Now - LastPressed >= Settings.Settling &&
      Admitted >= Settings.ReopenAt * sumOf(Load.Demand))
    Short = false;
}

/// Each rank gets what it asks for, as far as more urgent ones leave it and
/// less urgent ones have their guaranteed part.
void rank_threshold::shareOut(const std::vector<double> &Demand) {
  const double LesserDemand =
      sumOf(Demand) - (Demand.empty() ? 0 : Demand.front());
  double Reserved = std::min(LesserDemand, Settings.LesserRankShare * Admitted);
  const double ReservedPart = LesserDemand > 0 ? Reserved / LesserDemand : 0;
  double Left = Admitted;
  Shares.assign(Demand.size(), 1);
  for (size_t Rank = 0; Rank < Demand.size(); ++Rank) {
    if (Rank > 0)
      Reserved -= ReservedPart * Demand[Rank];
    const double Given =
        std::clamp(Left - std::max(Reserved, 0.0), 0.0, Demand[Rank]);
    if (Demand[Rank] > 0)
      Shares[Rank] = Given / Demand[Rank];
    Left -= Given;
  }
}

double rank_threshold::shareOf(size_t Rank) const {
  return !Short || Rank >= Shares.size() ? 1 : Shares[Rank];
}

} // namespace magnolia::admission
