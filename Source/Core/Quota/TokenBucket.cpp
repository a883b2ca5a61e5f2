#include "Quota/TokenBucket.h"

#include <algorithm>
#include <cmath>

namespace magnolia::quota {

namespace {

constexpr double MicrosPerSecond = 1e6;

} // namespace

token_bucket::token_bucket(nano_rate Rate, nano_tokens Capacity,
                           nano_tokens Tokens, common::boot_time Now)
    : Rate(Rate), Capacity(Capacity), Available(Tokens), Last(Now) {
  clip();
}

void token_bucket::accrue(common::boot_time Now) {
  if (Now <= Last)
    return;
  const auto Elapsed = static_cast<double>((Now - Last).count());
  Last = Now;
  const double Earned =
      std::floor(static_cast<double>(Rate) * Elapsed / MicrosPerSecond);
  const nano_tokens Free = std::max<nano_tokens>(0, Capacity - Reserved);
  // Compared as doubles first: after a long absence the earned tokens may
  // exceed an integer.
  if (Earned >= static_cast<double>(Free))
    Available = Free;
  else
    Available += static_cast<nano_tokens>(Earned);
  clip();
}

void token_bucket::resize(nano_rate NewRate, nano_tokens NewCapacity,
                          common::boot_time Now) {
  accrue(Now);
  Rate = NewRate;
  Capacity = NewCapacity;
  clip();
}

void token_bucket::reserve(nano_tokens Amount, common::boot_time Now) {
  accrue(Now);
  Available -= Amount;
  Reserved += Amount;
}

void token_bucket::settle(nano_tokens Amount, common::boot_time Now) {
  accrue(Now);
  Reserved -= Amount;
}

void token_bucket::cancel(nano_tokens Amount, common::boot_time Now) {
  accrue(Now);
  Reserved -= Amount;
  Available += Amount;
  clip();
}

void token_bucket::remove(nano_tokens Amount, common::boot_time Now) {
  accrue(Now);
  Available -= Amount;
}

void token_bucket::add(nano_tokens Amount, common::boot_time Now) {
  accrue(Now);
  Available += Amount;
  clip();
}

void token_bucket::clear(common::boot_time Now) {
  accrue(Now);
  Available = 0;
  Reserved = 0;
}

duration token_bucket::timeUntil(nano_tokens Amount) const {
  if (Amount <= Available)
    return duration::zero();
  if (Rate <= 0 || Amount > Capacity)
    return duration::max();
  const double Missing = static_cast<double>(Amount - Available);
  const double Micros =
      std::ceil(Missing * MicrosPerSecond / static_cast<double>(Rate));
  return duration(static_cast<duration::rep>(Micros));
}

void token_bucket::clip() {
  const nano_tokens Free = std::max<nano_tokens>(0, Capacity - Reserved);
  Available = std::clamp<nano_tokens>(Available, 0, Free);
}

} // namespace magnolia::quota
