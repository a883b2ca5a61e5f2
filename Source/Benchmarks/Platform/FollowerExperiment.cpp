#include <algorithm>
#include <chrono>
#include <cstdio>
#include <vector>

#include <absl/strings/str_format.h>

#include "UnitTests/Platform/FollowerFleet.h"

/// Time from the acceptance of a change until it is in force on every instance,
/// and the traffic between instances, by fleet size. Times are made up; steps
/// take 100 ms.
namespace {

using magnolia::platform::follower_fleet;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr size_t FleetSizes[] = {14, 50, 200, 800};
constexpr int Changes = 20;
constexpr seconds BetweenChanges(7);
constexpr milliseconds Step(100);
constexpr seconds Limit(60);
constexpr uint64_t Seed = 1;
constexpr double MicrosPerSecond = 1e6;

/// What the instances can reach during a run.
enum class reach { All, HalfCutFromTable };

double secondsBetween(follower_fleet::time From, follower_fleet::time To) {
  return static_cast<double>((To - From).count()) / MicrosPerSecond;
}

double measureChange(follower_fleet &Fleet) {
  const uint64_t Version = Fleet.change();
  const follower_fleet::time Start = Fleet.now();
  while (!Fleet.allHave(Version) && Fleet.now() < Start + Limit)
    Fleet.runFor(Step);
  return secondsBetween(Start, Fleet.now());
}

void run(size_t Size, reach Reach) {
  follower_fleet Fleet(Size, Seed);
  if (Reach == reach::HalfCutFromTable)
    for (size_t Index = 0; Index < Size / 2; ++Index)
      Fleet.cutFromPlatform(Index, true);
  Fleet.change();
  Fleet.runFor(BetweenChanges);
  const follower_fleet::time Start = Fleet.now();
  const uint64_t Messages = Fleet.messages();
  const uint64_t Bytes = Fleet.messageBytes();
  std::vector<double> Times;
  for (int Change = 0; Change < Changes; ++Change) {
    Times.push_back(measureChange(Fleet));
    Fleet.runFor(BetweenChanges);
  }
  std::sort(Times.begin(), Times.end());
  const double PerInstance =
      secondsBetween(Start, Fleet.now()) * static_cast<double>(Size);
  absl::PrintF("%9u %-20s %10.1f %10.1f %14.1f %12.0f\n", Size,
               Reach == reach::All ? "all" : "half without table",
               Times[Times.size() / 2], Times.back(),
               static_cast<double>(Fleet.messages() - Messages) / PerInstance,
               static_cast<double>(Fleet.messageBytes() - Bytes) / PerInstance);
  std::fflush(stdout);
}

} // namespace

int main() {
  absl::PrintF("%9s %-20s %10s %10s %14s %12s\n", "instances", "reach",
               "median s", "longest s", "messages/s each", "bytes/s each");
  for (const size_t Size : FleetSizes)
    for (const reach Reach : {reach::All, reach::HalfCutFromTable})
      run(Size, Reach);
}
