#include "Target/Evidence.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace magnolia::target {
namespace {

/// Crossed answers harm more than failed ones.
constexpr double MismatchWeight = 3;

constexpr std::array<std::string_view, static_cast<size_t>(outcome::Count)>
    OutcomeNames = {"success",     "error",       "stall",
                    "half_answer", "unreachable", "refused_not_run",
                    "mismatched"};

evidence_summary scaled(const evidence_summary &Sums, double Factor) {
  return {Sums.Weight * Factor, Sums.Faults * Factor, Sums.Answers * Factor,
          Sums.LogLatencySum * Factor};
}

double logMicros(duration Latency) {
  return std::log(static_cast<double>(std::max<int64_t>(Latency.count(), 1)));
}

evidence_summary summaryOf(outcome Outcome, duration Latency) {
  switch (Outcome) {
  case outcome::Success:
    return {1, 0, 1, logMicros(Latency)};
  case outcome::RefusedNotRun:
  case outcome::Count:
    return {};
  case outcome::Mismatched:
    return {MismatchWeight, MismatchWeight, 0, 0};
  case outcome::Error:
  case outcome::Stall:
  case outcome::HalfAnswer:
  case outcome::Unreachable:
    return {1, 1, 0, 0};
  }
  return {};
}

} // namespace

std::string_view nameOf(outcome Outcome) {
  return OutcomeNames[static_cast<size_t>(Outcome)];
}

void evidence_summary::add(const evidence_summary &Other) {
  Weight += Other.Weight;
  Faults += Other.Faults;
  Answers += Other.Answers;
  LogLatencySum += Other.LogLatencySum;
}

double evidence::decayUntil(boot_time Now, const settings &Settings) const {
  if (Now <= Updated)
    return 1;
  const auto Age = static_cast<double>((Now - Updated).count());
  return std::exp2(-Age / static_cast<double>(Settings.HalfLife.count()));
}

void evidence::observe(outcome Outcome, duration Latency, boot_time Now,
                       const settings &Settings) {
  Sums = scaled(Sums, decayUntil(Now, Settings));
  Updated = std::max(Updated, Now);
  Sums.add(summaryOf(Outcome, Latency));
}

evidence_summary evidence::summarize(uint32_t Stalled, boot_time Now,
                                     const settings &Settings) const {
  evidence_summary Summary = scaled(Sums, decayUntil(Now, Settings));
  Summary.Weight += Stalled;
  Summary.Faults += Stalled;
  return Summary;
}

} // namespace magnolia::target
