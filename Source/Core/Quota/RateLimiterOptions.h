#pragma once

#include "Quota/LendPolicy.h"

namespace magnolia::quota {

using std::chrono::milliseconds;

/// Terms and limits of a rate_limiter.
struct rate_limiter_options {
  /// Name of this instance, as known to its peers.
  std::string Self;
  /// Random number of this process.
  uint64_t Process = 0;
  /// Term of a loan.
  duration LoanTerm = milliseconds(1000);
  /// Largest relative difference between the speeds of two instances' clocks.
  double ClockDrift = 0.001;
  /// Time that an owner has to reply before the next one is asked.
  duration ReplyTimeout = milliseconds(20);
  /// Longest time that a request waits for loans. An owner on a machine whose
  /// processors are all busy replies only after a few hundred milliseconds.
  duration WaitLimit = milliseconds(300);
  /// An owner that did not reply is not asked again for this long.
  duration UnresponsivePause = milliseconds(500);
  /// Loans are returned this long before they end.
  duration ReturnLead = milliseconds(50);
  /// A loan that was not used for this long is returned.
  duration IdleReturn = milliseconds(200);
  /// Number of requests of one workspace that may wait for loans at the same
  /// time.
  size_t MaxWaitingRequests = 256;
  /// Decides how much is lent.
  lend_policy LendPolicy = lendSpareRate;
};

} // namespace magnolia::quota
