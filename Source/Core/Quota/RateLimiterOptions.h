#pragma once

#include "Quota/LendPolicy.h"

namespace magnolia::quota {

using std::chrono::milliseconds;

/// Terms and limits of a gate.
struct rate_limiter_options {
  /// Name of this instance, as peers know it.
  std::string Self;
  /// Random number of this process.
  uint64_t Process = 0;
  /// How long a loan runs.
  duration LoanTerm = milliseconds(1000);
  /// Largest relative difference between the speeds of two instances' clocks.
  double ClockDrift = 0.001;
  /// How long a home may take to answer before the next one is asked.
  duration ReplyTimeout = milliseconds(20);
  /// How long a request waits for loans at most. A home on a machine whose
  /// processors are all in use answers only after some hundred milliseconds.
  duration WaitLimit = milliseconds(300);
  /// A home that did not answer is not asked again for this long.
  duration UnresponsivePause = milliseconds(500);
  /// Loans are returned this long before they end.
  duration ReturnLead = milliseconds(50);
  /// A loan that nothing was taken from for this long is returned.
  duration IdleReturn = milliseconds(200);
  /// Requests of one workspace that may wait for loans at the same time.
  size_t WaitingLimit = 256;
  /// Decides what is lent.
  lend_policy LendPolicy = lendSpareRate;
};

} // namespace magnolia::quota
