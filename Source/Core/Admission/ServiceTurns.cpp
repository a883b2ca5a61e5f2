#include "Admission/ServiceTurns.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

namespace magnolia::admission {
namespace {

using common::boot_time;

/// Turns that may be left over for later requests.
constexpr double MaxTokens = 4;
/// The first requests count as if they had come over this part of the time over
/// which arrivals are smoothed.
constexpr double MinSeen = 0.25;
constexpr size_t Unlimited = std::numeric_limits<size_t>::max();

double secondsOf(common::boot_clock::duration Duration) {
  return std::chrono::duration<double>(Duration).count();
}

} // namespace

service_turns::service_turns(const turn_settings &Settings)
    : Settings(Settings), Threshold(Settings.Threshold),
      Queue(Settings.Queue, [this] { return capacity(); }) {}

void service_turns::update(const service_load &Known, size_t InstanceCount,
                           boot_time Now) {
  Instances = InstanceCount;
  Load = Known;
  KnownFreeSlots = Known.FreeSlots;
  Load.SlotTime = Queue.slotTime();
  // Some of those with a turn may not have been sent yet.
  if (Instances == 1) {
    const auto Sent =
        std::min<uint32_t>(Load.Slots, static_cast<uint32_t>(Running));
    Load.FreeSlots = std::min(Load.FreeSlots, Load.Slots - Sent);
  }
  Threshold.update(Load, Now);
  Queue.setPace(pace(Now));
}

size_t service_turns::capacity() const {
  if (Blocked)
    return Running + (ProbeDue ? 1 : 0);
  if (Load.Slots == 0 || !Threshold.isShort())
    return Unlimited;
  if (Instances > 1)
    return Running + static_cast<size_t>(std::max(Tokens, 0.0));
  const size_t Used = std::max<size_t>(Load.Slots - KnownFreeSlots, Running);
  return Running + (Load.Slots - std::min<size_t>(Load.Slots, Used));
}

/// The turns of this instance; none are expected while it grants all at once.
grant_pace service_turns::pace(boot_time Now) const {
  if (!isShort())
    return {};
  if (Instances == 1) {
    const double SlotTime = secondsOf(Load.SlotTime);
    const double Freed = SlotTime > 0 ? Load.Slots / SlotTime : 0;
    return {Freed, Freed, Settings.HighPace * Freed};
  }
  double Turns = 0;
  for (size_t Rank = 0; Rank < Arrived.size(); ++Rank)
    Turns += arrivalRate(Rank, Now) * Threshold.shareOf(Rank);
  return {Turns, Settings.LowPace * Turns, Settings.HighPace * Turns};
}

/// What remains of the weight of arrivals that were counted when the last one
/// came.
double service_turns::remaining(boot_time Now) const {
  return std::exp(-secondsOf(Now - ArrivedAt) /
                  secondsOf(Settings.ArrivalsOver));
}

double service_turns::arrivalRate(size_t Rank, boot_time Now) const {
  if (Rank >= Arrived.size())
    return 0;
  // What came before the first request was not seen.
  const double Over = secondsOf(Settings.ArrivalsOver);
  const double Seen = 1 - std::exp(-secondsOf(Now - *FirstArrival) / Over);
  return Arrived[Rank] * remaining(Now) / (Over * std::max(Seen, MinSeen));
}

void service_turns::countArrival(size_t Rank, boot_time Now) {
  const double Left = remaining(Now);
  for (double &OfRank : Arrived)
    OfRank *= Left;
  ArrivedAt = Now;
  if (!FirstArrival)
    FirstArrival = Now;
  if (Arrived.size() <= Rank)
    Arrived.resize(Rank + 1);
  Arrived[Rank] += 1;
}

absl::StatusOr<ticket>
service_turns::submit(const turn_request &Request, boot_time Now,
                      fair_queue::decision_hook OnDecision) {
  countArrival(Request.Rank, Now);
  boot_time Deadline = boot_time::max();
  if (isShort()) {
    Tokens = std::min(Tokens + Threshold.shareOf(Request.Rank), MaxTokens);
    Queue.setPace(pace(Now));
    Deadline = Request.DeadlineIfShort;
  } else if (Blocked) {
    Deadline = Request.Deadline;
  }
  return Queue.submit({Request.Workspace, 1, Deadline, Request.Rank}, Now,
                      [this, OnDecision = std::move(OnDecision)](
                          ticket Ticket, const absl::Status &Decision) {
                        if (Decision.ok())
                          onGranted();
                        OnDecision(Ticket, Decision);
                      });
}

void service_turns::onGranted() {
  ++Running;
  ProbeDue = false;
  if (isShort())
    Tokens -= 1;
}

void service_turns::cancel(ticket Ticket, boot_time Now) {
  Queue.cancel(Ticket, Now);
}

void service_turns::release(ticket Ticket, slot_use Use, boot_time Now) {
  --Running;
  Queue.release(Ticket, Use, Now);
}

void service_turns::advance(boot_time Now) { Queue.advance(Now); }

void service_turns::onTargetMissing() {
  Blocked = true;
  ProbeDue = false;
}

bool service_turns::onTargetFound() { return std::exchange(Blocked, false); }

void service_turns::beginPeriod() {
  Blocked = Blocked && waiting() > 0;
  ProbeDue = Blocked;
}

turn_inputs service_turns::inputsOf(size_t Rank) const {
  return {Rank,
          isShort(),
          Load,
          Threshold.admittedPerSecond(),
          Threshold.shareOf(Rank),
          Queue.waitingAhead(Rank),
          Queue.expectedWait(Rank)};
}

} // namespace magnolia::admission
