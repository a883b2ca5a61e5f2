#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "Quota/Amount.h"

namespace magnolia::quota::experiment {

/// Where the callers of the workspace go.
enum class placement { Anywhere, Homes, OneInstance };

/// One setting of the event model: gates of one workspace over ideal links with
/// a delay, Poisson calls, permits spent at once.
struct scenario {
  uint64_t Seed = 1;
  size_t Instances = 14;
  uint32_t Homes = 4;
  double Rate = 50;
  double Burst = 20;
  /// Calls per second as a part of the rate.
  double Load = 0.9;
  placement Placement = placement::Anywhere;
  bool Lending = true;
  bool LendingRate = true;
  duration Delay = std::chrono::microseconds(500);
  duration LoanTerm = std::chrono::seconds(1);
  duration Length = std::chrono::seconds(60);
  /// Homes that die after the warm-up; callers leave them at once.
  uint32_t DeadHomes = 0;
  /// When another instance has a dead home's share; absent shares stay lost.
  duration ShareLostFor = duration::max();
  /// Each home in turn is replaced this often; zero for never. Its share is
  /// away for Handover.
  duration ReplaceEvery{};
  duration Handover = std::chrono::milliseconds(2000);
};

/// What one run counted after the warm-up.
struct outcome {
  uint64_t Requests = 0;
  uint64_t Admitted = 0;
  /// Refused though one central bucket would have admitted the request.
  uint64_t Wrongful = 0;
  /// What one central bucket would have admitted.
  uint64_t CentrallyAdmitted = 0;
  uint64_t Messages = 0;
  /// By how many requests the worst window exceeds burst + rate * window.
  double WorstExcess = 0;
  /// Wait of admitted requests, 99th of 100.
  duration Wait{};

  double wrongfulPercent() const;
  /// By how much fewer requests were admitted than by one central bucket. Says
  /// more than wrongfulPercent() where most requests must be refused.
  double shortfallPercent() const;
  double messagesPerRequest() const;
};

outcome run(const scenario &Scenario);

} // namespace magnolia::quota::experiment
