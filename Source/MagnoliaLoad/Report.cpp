#include "MagnoliaLoad/Report.h"

#include <algorithm>

#include <absl/strings/str_format.h>
#include <nlohmann/json.hpp>

namespace magnolia::load {
namespace {

using nlohmann::json;

constexpr double Median = 0.5;
constexpr double High = 0.99;
constexpr double Percent = 100;
constexpr double MicrosPerMs = 1000;

double inMs(microseconds Time) {
  return static_cast<double>(Time.count()) / MicrosPerMs;
}

std::string nameOf(const experiment &Experiment, size_t Index) {
  return Index < Experiment.Workspaces.size()
             ? Experiment.Workspaces[Index].Name
             : "(direct)";
}

/// The workspace within its rate that has the least success, and of equals
/// the one with the highest 99th of 100; null without any.
struct worst_served {
  std::string Name;
  double Success = 1;
  double HighMs = 0;
};

std::optional<worst_served> findWorstServed(const experiment &Experiment,
                                            const run_result &Result) {
  std::optional<worst_served> Worst;
  for (size_t Index = 0; Index < Experiment.Workspaces.size(); ++Index) {
    const workspace_result &Row = Result.Workspaces[Index];
    if (Experiment.Workspaces[Index].Load > 1 || Row.Sent == 0)
      continue;
    const worst_served Candidate{nameOf(Experiment, Index), Row.successRatio(),
                                 Row.Latency.quantileMs(High)};
    if (!Worst || std::pair(Candidate.Success, -Candidate.HighMs) <
                      std::pair(Worst->Success, -Worst->HighMs))
      Worst = Candidate;
  }
  return Worst;
}

struct refusal_total {
  uint64_t WithinRate = 0;
  uint64_t WronglyRefused = 0;
};

refusal_total totalRefusals(const experiment &Experiment,
                            const run_result &Result) {
  refusal_total Total;
  for (size_t Index = 0; Index < Experiment.Workspaces.size(); ++Index) {
    Total.WithinRate += Result.Workspaces[Index].WithinRate;
    Total.WronglyRefused += Result.Workspaces[Index].wronglyRefused();
  }
  return Total;
}

latency_histogram keyedLatency(const experiment &Experiment,
                               const run_result &Result) {
  latency_histogram All;
  for (size_t Index = 0; Index < Experiment.Workspaces.size(); ++Index)
    All.merge(Result.Workspaces[Index].Latency);
  return All;
}

double percentOf(uint64_t Part, uint64_t Whole) {
  return Whole == 0
             ? 0
             : Percent * static_cast<double>(Part) / static_cast<double>(Whole);
}

void printRows(std::ostream &Out, const experiment &Experiment,
               const run_result &Result) {
  Out << absl::StrFormat("%-18s %8s %8s %9s %9s %9s %9s %9s %9s\n", "workspace",
                         "sent", "within", "succeeded", "success%", "p50 ms",
                         "p99 ms", "refused", "wrongly");
  for (size_t Index = 0; Index < Result.Workspaces.size(); ++Index) {
    const workspace_result &Row = Result.Workspaces[Index];
    Out << absl::StrFormat(
        "%-18s %8d %8d %9d %9.3f %9.2f %9.2f %9d %9d\n",
        nameOf(Experiment, Index), Row.Sent, Row.WithinRate, Row.Succeeded,
        Percent * Row.successRatio(), Row.Latency.quantileMs(Median),
        Row.Latency.quantileMs(High), Row.RateRefused, Row.wronglyRefused());
  }
}

void printDetections(std::ostream &Out, const run_result &Result) {
  if (!Result.SawMetrics) {
    Out << "detection: no metrics were read\n";
    return;
  }
  for (const detection &Detection : Result.Detections)
    Out << "detection: " << Detection.Target << " "
        << (Detection.EjectedAt
                ? absl::StrFormat("%.0f ms", inMs(*Detection.EjectedAt -
                                                  Detection.GraySince))
                : "not detected")
        << "\n";
  Out << "false ejections: " << Result.FalseEjections.size() << "\n";
}

void printFailures(std::ostream &Out, const experiment &Experiment,
                   const run_result &Result) {
  for (size_t Index = 0; Index < Result.Workspaces.size(); ++Index)
    for (const auto &[Kind, Count] : Result.Workspaces[Index].Failures)
      Out << absl::StrFormat("  %-18s %-26s ran=%-8s %8d\n",
                             nameOf(Experiment, Index), Kind.first, Kind.second,
                             Count);
}

void printAdded(std::ostream &Out, const experiment &Experiment,
                const run_result &Result) {
  if (Experiment.Direct.Rate <= 0)
    return;
  const latency_histogram Keyed = keyedLatency(Experiment, Result);
  const latency_histogram &Direct = Result.Workspaces.back().Latency;
  Out << absl::StrFormat(
      "added latency: p50 %.2f ms, p99 %.2f ms over direct calls\n",
      Keyed.quantileMs(Median) - Direct.quantileMs(Median),
      Keyed.quantileMs(High) - Direct.quantileMs(High));
}

json rowJson(const experiment &Experiment, const run_result &Result,
             size_t Index) {
  const workspace_result &Row = Result.Workspaces[Index];
  json Failures = json::array();
  for (const auto &[Kind, Count] : Row.Failures)
    Failures.push_back(
        {{"kind", Kind.first}, {"ran", Kind.second}, {"count", Count}});
  return {{"workspace", nameOf(Experiment, Index)},
          {"sent", Row.Sent},
          {"within_rate", Row.WithinRate},
          {"succeeded", Row.Succeeded},
          {"success_ratio", Row.successRatio()},
          {"p50_ms", Row.Latency.quantileMs(Median)},
          {"p99_ms", Row.Latency.quantileMs(High)},
          {"lateness_p99_ms", Row.Lateness.quantileMs(High)},
          {"rate_refused", Row.RateRefused},
          {"rate_refused_within", Row.RateRefusedWithin},
          {"wrongly_refused", Row.wronglyRefused()},
          {"failures", Failures}};
}

json detectionsJson(const run_result &Result) {
  json Detections = json::array();
  for (const detection &Detection : Result.Detections) {
    json Row = {{"target", Detection.Target},
                {"gray_since_ms", inMs(Detection.GraySince)}};
    if (Detection.EjectedAt)
      Row["detected_after_ms"] =
          inMs(*Detection.EjectedAt - Detection.GraySince);
    Detections.push_back(std::move(Row));
  }
  return Detections;
}

} // namespace

void printReport(std::ostream &Out, const experiment &Experiment,
                 const run_result &Result) {
  Out << absl::StrFormat("experiment %s, seed %d, %.1f s\n", Experiment.Name,
                         Experiment.Seed, Result.ElapsedSeconds);
  printRows(Out, Experiment, Result);
  printDetections(Out, Result);
  if (const auto Worst = findWorstServed(Experiment, Result))
    Out << absl::StrFormat(
        "worst-served workspace: %s, success %.3f%%, p99 %.2f ms\n",
        Worst->Name, Percent * Worst->Success, Worst->HighMs);
  const refusal_total Refusals = totalRefusals(Experiment, Result);
  Out << absl::StrFormat(
      "wrongful refusals: %d of %d within rate (%.3f%%)\n",
      Refusals.WronglyRefused, Refusals.WithinRate,
      percentOf(Refusals.WronglyRefused, Refusals.WithinRate));
  printAdded(Out, Experiment, Result);
  printFailures(Out, Experiment, Result);
}

std::string jsonReport(const experiment &Experiment, const run_result &Result) {
  json Rows = json::array();
  for (size_t Index = 0; Index < Result.Workspaces.size(); ++Index)
    Rows.push_back(rowJson(Experiment, Result, Index));
  const refusal_total Refusals = totalRefusals(Experiment, Result);
  json Report = {{"experiment", Experiment.Name},
                 {"seed", Experiment.Seed},
                 {"elapsed_s", Result.ElapsedSeconds},
                 {"workspaces", Rows},
                 {"metrics_read", Result.SawMetrics},
                 {"detections", detectionsJson(Result)},
                 {"false_ejections", Result.FalseEjections},
                 {"within_rate", Refusals.WithinRate},
                 {"wrongly_refused", Refusals.WronglyRefused},
                 {"directory_failures", Result.DirectoryFailures},
                 {"event_failures", Result.EventFailures}};
  if (const auto Worst = findWorstServed(Experiment, Result))
    Report["worst_served"] = {{"workspace", Worst->Name},
                              {"success_ratio", Worst->Success},
                              {"p99_ms", Worst->HighMs}};
  constexpr int Indent = 2;
  return Report.dump(Indent) + "\n";
}

} // namespace magnolia::load
