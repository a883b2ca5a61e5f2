#include "Fleet/SendOutcomes.h"

#include "Common/StringView.h"

namespace magnolia::fleet {
namespace {

using placement::evidence;

constexpr std::chrono::milliseconds IntervalLength{100};

int64_t intervalNumber(common::boot_time Now) {
  return Now.time_since_epoch() / IntervalLength;
}

/// Whether it is the final evidence of a request that a target had room for.
/// One that breaks connections says nothing of its room, but its requests need
/// none of the other targets' either.
bool isTaken(evidence Evidence) {
  return Evidence == evidence::Succeeded || Evidence == evidence::Broken ||
         Evidence == evidence::SucceededLate || Evidence == evidence::Failed ||
         Evidence == evidence::TimedOut;
}

} // namespace

void send_outcomes::count(std::string_view Service, evidence Evidence,
                          common::boot_time Now) {
  const bool IsRefused = Evidence == evidence::Refused;
  if (!IsRefused && !isTaken(Evidence))
    return;
  const int64_t Number = intervalNumber(Now);
  interval &Interval = Services[common::toAbsl(Service)].at(
      static_cast<size_t>(Number) % IntervalCount);
  if (Interval.Number != Number)
    Interval = {Number, 0, 0};
  ++(IsRefused ? Interval.Refused : Interval.Taken);
}

send_outcomes::rates send_outcomes::ratesOf(std::string_view Service,
                                            common::boot_time Now) const {
  const auto Found = Services.find(common::toAbsl(Service));
  if (Found == Services.end())
    return {};
  const int64_t Current = intervalNumber(Now);
  rates Rates;
  for (const interval &Interval : Found->second) {
    // The current interval is not over.
    if (Interval.Number >= Current ||
        Interval.Number + static_cast<int64_t>(IntervalCount) <= Current)
      continue;
    Rates.Taken += Interval.Taken;
    Rates.Refused += Interval.Refused;
  }
  const double Seconds = std::chrono::duration<double>(IntervalLength).count() *
                         static_cast<double>(IntervalCount - 1);
  return {Rates.Taken / Seconds, Rates.Refused / Seconds};
}

} // namespace magnolia::fleet
