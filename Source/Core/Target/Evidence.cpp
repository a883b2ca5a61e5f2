#include "Target/Evidence.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace magnolia::target {
namespace {

/// A response to another request does more harm than a failed attempt.
constexpr double MismatchWeight = 3;

/// Maximum logarithmic ratio to the median latency with which one very slow
/// response counts.
constexpr double MaxLogRatio = 3;

/// Maximum suspicion as a multiple of the threshold.
constexpr double MaxSuspicionRatio = 4;

constexpr std::array<std::string_view, static_cast<size_t>(outcome::Count)>
    OutcomeNames = {"success",     "error",       "stall",
                    "half_answer", "unreachable", "refused_not_run",
                    "mismatched",  "superseded"};

double decayFactor(duration Age, duration HalfLife) {
  return std::exp2(-static_cast<double>(Age.count()) /
                   static_cast<double>(HalfLife.count()));
}

double logMicros(duration Latency) {
  return std::log(static_cast<double>(std::max<int64_t>(Latency.count(), 1)));
}

evidence_summary summaryOf(outcome Outcome, duration Latency) {
  switch (Outcome) {
  case outcome::Success:
    return {1, 0, 1, logMicros(Latency), 0};
  case outcome::RefusedNotRun:
  case outcome::Count:
    return {};
  case outcome::Mismatched:
    return {MismatchWeight, MismatchWeight, 0, 0, 0};
  case outcome::Error:
  case outcome::Stall:
  case outcome::HalfAnswer:
  case outcome::Unreachable:
    return {1, 1, 0, 0, 0};
  case outcome::Superseded:
    return {1, 0, 0, 0, 0};
  }
  return {};
}

/// Suspicion that one fault adds: at the limit Settings.FaultRate it balances
/// what the other requests subtract.
double faultGain(const settings &Settings) {
  return std::log(Settings.LatencyRatio) * (1 - Settings.FaultRate) /
         Settings.FaultRate;
}

/// Suspicion that one response adds; negative if it lowers suspicion.
double responseGain(duration Latency, duration Median,
                    const settings &Settings) {
  const double SlowLogRatio = std::log(Settings.LatencyRatio);
  if (Median == duration::zero() || Latency < Median + Settings.LatencyExcess)
    return -SlowLogRatio;
  return std::min(logMicros(Latency) - logMicros(Median), MaxLogRatio) -
         SlowLogRatio;
}

/// Suspicion that the slowest response adds.
double slowestGain(const settings &Settings) {
  return MaxLogRatio - std::log(Settings.LatencyRatio);
}

/// Bounds suspicion so that a recovered target is trusted in finite time.
double clampSuspicion(double Suspicion, const settings &Settings) {
  return std::clamp(Suspicion, 0.0, MaxSuspicionRatio * Settings.Threshold);
}

} // namespace

std::string_view nameOf(outcome Outcome) {
  return OutcomeNames[static_cast<size_t>(Outcome)];
}

void evidence_summary::add(const evidence_summary &Other) {
  Weight += Other.Weight;
  Faults += Other.Faults;
  Responses += Other.Responses;
  LogLatencySum += Other.LogLatencySum;
  Suspicion += Other.Suspicion;
}

evidence_summary evidence::aged(boot_time Now, const settings &Settings) const {
  if (Now <= UpdatedAt)
    return Sums;
  const double Factor = decayFactor(Now - UpdatedAt, Settings.HalfLife);
  const double SuspicionFactor =
      decayFactor(Now - UpdatedAt, Settings.SuspicionHalfLife);
  return {Sums.Weight * Factor, Sums.Faults * Factor, Sums.Responses * Factor,
          Sums.LogLatencySum * Factor, Sums.Suspicion * SuspicionFactor};
}

void evidence::observe(outcome Outcome, duration Latency, duration Median,
                       boot_time Now, const settings &Settings) {
  Sums = aged(Now, Settings);
  UpdatedAt = std::max(UpdatedAt, Now);
  const evidence_summary Attempt = summaryOf(Outcome, Latency);
  Sums.add(Attempt);
  Sums.Suspicion += Attempt.Faults * faultGain(Settings);
  if (Outcome == outcome::Success)
    Sums.Suspicion += responseGain(Latency, Median, Settings);
  // How long the response would have taken is unknown. A healthy target is
  // superseded rarely, one that never responds each time.
  if (Outcome == outcome::Superseded)
    Sums.Suspicion += slowestGain(Settings);
  Sums.Suspicion = clampSuspicion(Sums.Suspicion, Settings);
}

evidence_summary evidence::summarize(uint32_t Stalled, boot_time Now,
                                     const settings &Settings) const {
  evidence_summary Summary = aged(Now, Settings);
  Summary.Weight += Stalled;
  Summary.Faults += Stalled;
  Summary.Suspicion = clampSuspicion(
      Summary.Suspicion + Stalled * faultGain(Settings), Settings);
  return Summary;
}

} // namespace magnolia::target
