#pragma once

#include <deque>
#include <list>
#include <string>

#include <absl/container/flat_hash_map.h>

#include "Admission/FairQueue.h"

namespace magnolia::benchmarks {

using common::boot_time;

/// The orders against which the fair queue is measured.
enum class baseline_order : uint8_t { FirstCome, DeficitRoundRobin };

/// A bounded, deadline-aware queue with another order than fair_queue and the
/// same interface. Single-threaded.
class baseline_queue {
public:
  baseline_queue(baseline_order Order,
                 const admission::fair_queue_options &Options,
                 admission::fair_queue::capacity_hook Capacity)
      : Order(Order), Options(Options), Capacity(std::move(Capacity)) {}

  absl::StatusOr<admission::ticket>
  submit(const admission::admission_request &Request, boot_time Now,
         admission::fair_queue::decision_hook OnDecision);
  void release(admission::ticket Ticket, admission::slot_use Use,
               boot_time Now);
  void advance(boot_time Now);

private:
  struct waiting {
    admission::ticket Ticket;
    boot_time Deadline;
    admission::fair_queue::decision_hook OnDecision;
  };

  struct line {
    std::deque<waiting> Waiting;
    double Weight = 1;
    /// Slot time in microseconds that it may still use in this round.
    double Deficit = 0;
    double SlotTime = 0;
    bool Active = false;
  };

  struct running {
    std::string Line;
    boot_time Granted;
    double Charged;
  };

  void grantWaiting(boot_time Now);
  bool takeTurn(boot_time Now);
  void refuseLate(line &Line, boot_time Now);

  baseline_order Order;
  admission::fair_queue_options Options;
  admission::fair_queue::capacity_hook Capacity;
  absl::flat_hash_map<std::string, line> Lines;
  /// Names of lines with waiting requests, the one whose turn it is first.
  std::list<std::string> Round;
  absl::flat_hash_map<admission::ticket, running> Running;
  size_t WaitingCount = 0;
  admission::ticket NextTicket = 1;
};

} // namespace magnolia::benchmarks
