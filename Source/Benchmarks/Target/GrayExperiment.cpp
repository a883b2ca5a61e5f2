#include <algorithm>
#include <cstdio>
#include <string>
#include <vector>

#include <CLI/CLI.hpp>

#include "GrayModel.h"

using namespace magnolia;
using namespace magnolia::benchmarks;

namespace {

/// The sizes of both deployments' services.
struct deployment_service {
  const char *Deployment;
  const char *Service;
  size_t Targets;
  uint32_t Slots;
  int DelayMicros;
};

constexpr deployment_service Services[] = {
    {"sokolnicke", "catalogue", 6, 6, 500},
    {"sokolnicke", "orders", 13, 6, 500},
    {"dolna-ghor", "listings", 6, 4, 1500},
    {"dolna-ghor", "reservations", 10, 4, 1500},
};

double at(std::vector<double> &Sorted, double Part) {
  if (Sorted.empty())
    return 0;
  const auto Index =
      static_cast<size_t>(Part * static_cast<double>(Sorted.size() - 1));
  return Sorted[Index];
}

void runOne(const deployment_service &Service, gray_fault Fault,
            double Threshold, uint64_t Seed, uint64_t Runs, double Load) {
  std::vector<double> Detection;
  gray_result Mean;
  for (uint64_t Run = 0; Run < Runs; ++Run) {
    gray_setup Setup;
    Setup.Targets = Service.Targets;
    Setup.Slots = Service.Slots;
    Setup.DelayBetweenDomains = target::duration(Service.DelayMicros);
    Setup.Fault = Fault;
    Setup.Load = Load;
    Setup.Seed = Seed + Run;
    Setup.Settings.Threshold = Threshold;
    const gray_result Result = runGrayModel(Setup);
    Detection.insert(Detection.end(), Result.DetectionSeconds.begin(),
                     Result.DetectionSeconds.end());
    const double Part = 1.0 / static_cast<double>(Runs);
    Mean.FalseEjectionsPerHour += Result.FalseEjectionsPerHour * Part;
    Mean.HealthyUnusedPercent += Result.HealthyUnusedPercent * Part;
    Mean.BadRequestsPercent += Result.BadRequestsPercent * Part;
    Mean.Requests += Result.Requests;
  }
  std::sort(Detection.begin(), Detection.end());
  std::printf(
      "%s,%s,%s,%.1f,%.2f,%.2f,%.2f,%.3f,%.3f,%llu\n", Service.Deployment,
      Service.Service, nameOf(Fault).c_str(), Threshold, at(Detection, 0.5),
      at(Detection, 1.0), Mean.FalseEjectionsPerHour, Mean.HealthyUnusedPercent,
      Mean.BadRequestsPercent, static_cast<unsigned long long>(Mean.Requests));
  std::fflush(stdout);
}

} // namespace

int main(int Count, char **Arguments) {
  CLI::App App{"Detection time of gray targets against false ejections"};
  uint64_t Seed = 1;
  uint64_t Runs = 2;
  double Load = 0.4;
  std::string Deployment;
  std::vector<double> Thresholds = {3, 5, 7, 10, 15, 20, 30};
  App.add_option("--seed", Seed, "First seed");
  App.add_option("--runs", Runs, "Runs per line, with seeds that follow");
  App.add_option("--load", Load, "Part of the slots that requests keep busy");
  App.add_option("--deployment", Deployment, "Only this deployment");
  App.add_option("--threshold", Thresholds, "Points of the curve");
  CLI11_PARSE(App, Count, Arguments);
  std::puts("deployment,service,fault,threshold,detection_s_median,"
            "detection_s_longest,false_ejections_per_instance_hour,"
            "healthy_unused_percent,bad_requests_percent,requests");
  for (const deployment_service &Service : Services) {
    if (!Deployment.empty() && Deployment != Service.Deployment)
      continue;
    for (size_t Fault = 0; Fault < static_cast<size_t>(gray_fault::Count);
         ++Fault)
      for (const double Threshold : Thresholds)
        runOne(Service, static_cast<gray_fault>(Fault), Threshold, Seed, Runs,
               Load);
  }
  return 0;
}
