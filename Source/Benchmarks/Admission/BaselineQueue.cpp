#include "Benchmarks/Admission/BaselineQueue.h"

#include "Common/ErrorKind.h"

namespace magnolia::benchmarks {
namespace {

using admission::slot_use;
using admission::ticket;
using common::error_kind;

constexpr double Smoothing = 0.1;
const std::string OneLine = "all";

} // namespace

absl::StatusOr<ticket>
baseline_queue::submit(const admission::admission_request &Request,
                       boot_time Now,
                       admission::fair_queue::decision_hook OnDecision) {
  const bool Shared = Order == baseline_order::FirstCome;
  const std::string Name = Shared ? OneLine : std::string(Request.Workspace);
  line &Line = Lines[Name];
  const size_t Limit = Shared ? Options.QueueLimit : Options.WorkspaceLimit;
  if (WaitingCount >= Options.QueueLimit || Line.Waiting.size() >= Limit)
    return common::makeError(error_kind::QueueFull, "the queue is full");
  const ticket Ticket = NextTicket++;
  Line.Weight = Request.Weight;
  Line.Waiting.push_back({Ticket, Request.Deadline, std::move(OnDecision)});
  ++WaitingCount;
  if (!Line.Active) {
    Line.Active = true;
    Line.Deficit = std::min(Line.Deficit, 0.0);
    if (Line.SlotTime == 0)
      Line.SlotTime = static_cast<double>(Options.InitialSlotTime.count());
    Round.push_back(Name);
  }
  grantWaiting(Now);
  return Ticket;
}

void baseline_queue::release(ticket Ticket, slot_use Use, boot_time Now) {
  const auto Found = Running.find(Ticket);
  if (Found == Running.end())
    return;
  const running Ended = Found->second;
  Running.erase(Found);
  line &Line = Lines[Ended.Line];
  const auto Used = static_cast<double>((Now - Ended.Granted).count());
  if (Use == slot_use::Completed) {
    Line.SlotTime += Smoothing * (Used - Line.SlotTime);
    Line.Deficit += Ended.Charged - Used;
  }
  grantWaiting(Now);
}

void baseline_queue::advance(boot_time Now) { grantWaiting(Now); }

void baseline_queue::grantWaiting(boot_time Now) {
  while (!Round.empty() && Running.size() < Capacity())
    if (!takeTurn(Now))
      Round.splice(Round.end(), Round, Round.begin());
}

/// Serves one request of the first line; false when its turn is over.
bool baseline_queue::takeTurn(boot_time Now) {
  const std::string Name = Round.front();
  line &Line = Lines[Name];
  refuseLate(Line, Now);
  if (Line.Waiting.empty()) {
    Line.Active = false;
    Round.pop_front();
    return true;
  }
  const double Charged = Order == baseline_order::FirstCome ? 0 : Line.SlotTime;
  if (Line.Deficit < Charged) {
    Line.Deficit +=
        Line.Weight * static_cast<double>(Options.InitialSlotTime.count());
    return false;
  }
  Line.Deficit -= Charged;
  waiting Next = std::move(Line.Waiting.front());
  Line.Waiting.pop_front();
  --WaitingCount;
  Running[Next.Ticket] = {Name, Now, Charged};
  Next.OnDecision(Next.Ticket, absl::OkStatus());
  return true;
}

void baseline_queue::refuseLate(line &Line, boot_time Now) {
  while (!Line.Waiting.empty() && Line.Waiting.front().Deadline <= Now) {
    waiting Late = std::move(Line.Waiting.front());
    Line.Waiting.pop_front();
    --WaitingCount;
    Late.OnDecision(Late.Ticket,
                    common::makeError(error_kind::QueueDeadlineExceeded, ""));
  }
}

} // namespace magnolia::benchmarks
