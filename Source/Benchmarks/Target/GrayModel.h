#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "Target/Settings.h"

/// An event model of one service whose targets fail gray, driven through the
/// library's own selectors.
namespace magnolia::benchmarks {

/// What goes wrong with the first target, but where said otherwise.
enum class gray_fault : uint8_t {
  None,
  /// Ten times slower.
  Slow,
  /// No request is answered.
  Stall,
  /// Every other answer breaks off.
  HalfAnswer,
  /// One failure domain cannot connect.
  OneWayCut,
  /// Stalls and recovers in turn.
  Flapping,
  /// Ten times slower, and reports no load.
  LyingLoad,
  /// All targets are ten times slower.
  Correlated,
  Count
};

/// The name of \p Fault as the command line takes it.
std::string nameOf(gray_fault Fault);

/// The sizes of one service.
struct gray_setup {
  size_t Instances = 14;
  size_t Targets = 6;
  uint32_t Slots = 6;
  double Floor = 0.5;
  target::duration DelayBetweenDomains{500};
  /// Part of the targets' slots that requests keep busy.
  double Load = 0.4;
  gray_fault Fault = gray_fault::None;
  uint64_t Seed = 1;
  target::settings Settings;
};

/// What came of one run.
struct gray_result {
  /// From the fault to its detection in each instance that it concerns; the
  /// rest of the run where it was not detected.
  std::vector<double> DetectionSeconds;
  /// Times that an instance stopped to use a healthy target, per instance-hour.
  double FalseEjectionsPerHour = 0;
  /// Part of the healthy targets' slots that instances did not use, in percent.
  double HealthyUnusedPercent = 0;
  /// Requests since the fault that failed or took over a second, in percent.
  double BadRequestsPercent = 0;
  uint64_t Requests = 0;
};

/// Runs the model; the fault comes after 30 s and stays for 60 s.
gray_result runGrayModel(const gray_setup &Setup);

} // namespace magnolia::benchmarks
