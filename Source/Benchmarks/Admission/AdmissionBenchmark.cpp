#include <string>
#include <vector>

#include <benchmark/benchmark.h>

#include "Admission/ConcurrencyLimits.h"
#include "Admission/FairQueue.h"
#include "Benchmarks/Admission/BaselineQueue.h"

using namespace magnolia;
using namespace magnolia::admission;

namespace {

constexpr int64_t Sizes[] = {100, 1000, 10000, 100000};

common::boot_time at(int64_t Micros) {
  return common::boot_time(std::chrono::microseconds(Micros));
}

fair_queue_options unboundedOptions() {
  fair_queue_options Options;
  Options.QueueLimit = 10'000'000;
  Options.WorkspaceLimit = 10'000'000;
  return Options;
}

std::vector<std::string> names(int64_t Count) {
  std::vector<std::string> Names;
  for (int64_t Index = 0; Index < Count; ++Index)
    Names.push_back("workspace-" + std::to_string(Index));
  return Names;
}

admission_request requestOf(const std::string &Workspace) {
  admission_request Request;
  Request.Workspace = Workspace;
  Request.Deadline = at(int64_t{1} << 50);
  return Request;
}

/// One request through a queue with a backlog in each of N workspaces.
template <typename Queue>
void passThrough(benchmark::State &State, Queue &Line) {
  const std::vector<std::string> Names = names(State.range(0));
  ticket Granted = 0;
  const auto Hook = [&Granted](ticket Ticket, const absl::Status &) {
    Granted = Ticket;
  };
  for (const std::string &Name : Names)
    benchmark::DoNotOptimize(Line.submit(requestOf(Name), at(0), Hook));
  int64_t Now = 0;
  size_t Next = 0;
  for (auto Step : State) {
    benchmark::DoNotOptimize(
        Line.submit(requestOf(Names[Next]), at(Now), Hook));
    Next = (Next + 1) % Names.size();
    Now += 20;
    Line.release(Granted, slot_use::Completed, at(Now));
  }
}

void startTimeFairRequest(benchmark::State &State) {
  fair_queue Line(unboundedOptions(), [] { return size_t{1}; });
  passThrough(State, Line);
}
BENCHMARK(startTimeFairRequest)
    ->ArgsProduct({{std::begin(Sizes), std::end(Sizes)}});

void deficitRoundRobinRequest(benchmark::State &State) {
  benchmarks::baseline_queue Line(benchmarks::baseline_order::DeficitRoundRobin,
                                  unboundedOptions(), [] { return size_t{1}; });
  passThrough(State, Line);
}
BENCHMARK(deficitRoundRobinRequest)
    ->ArgsProduct({{std::begin(Sizes), std::end(Sizes)}});

/// A full queue of N requests, from which each newcomer drops one.
void fullQueueRequest(benchmark::State &State) {
  fair_queue_options Options;
  Options.QueueLimit = static_cast<size_t>(State.range(0));
  Options.WorkspaceLimit = Options.QueueLimit;
  fair_queue Line(Options, [] { return size_t{0}; });
  const auto Hook = [](ticket, const absl::Status &) {};
  for (int64_t Count = 0; Count < State.range(0); ++Count)
    benchmark::DoNotOptimize(Line.submit(requestOf("busy"), at(0), Hook));
  for (auto Step : State) {
    const auto Ticket = Line.submit(requestOf("small"), at(0), Hook);
    Line.cancel(*Ticket, at(0));
    benchmark::DoNotOptimize(Line.submit(requestOf("busy"), at(0), Hook));
  }
}
BENCHMARK(fullQueueRequest)
    ->ArgsProduct({{std::begin(Sizes), std::end(Sizes)}});

/// One look at every waiting deadline.
void advanceBacklog(benchmark::State &State) {
  fair_queue Line(unboundedOptions(), [] { return size_t{0}; });
  const auto Hook = [](ticket, const absl::Status &) {};
  for (const std::string &Name : names(State.range(0)))
    benchmark::DoNotOptimize(Line.submit(requestOf(Name), at(0), Hook));
  for (auto Step : State)
    Line.advance(at(1));
}
BENCHMARK(advanceBacklog)->ArgsProduct({{std::begin(Sizes), std::end(Sizes)}});

/// One request through the limits of N targets.
void limitOneTarget(benchmark::State &State) {
  concurrency_limits Limits(additiveIncreaseRule());
  std::vector<target_slots> Targets;
  for (const std::string &Name : names(State.range(0)))
    Targets.push_back({Name, 6});
  Limits.setTargets(Targets, 1);
  int64_t Now = 0;
  for (auto Step : State) {
    benchmark::DoNotOptimize(Limits.tryStart(Targets.front().Name));
    Limits.finish(Targets.front().Name, target_outcome::Succeeded,
                  std::chrono::microseconds(20000), at(Now++));
  }
}
BENCHMARK(limitOneTarget)->ArgsProduct({{std::begin(Sizes), std::end(Sizes)}});

/// The capacity of a service of N targets.
void capacityOfTargets(benchmark::State &State) {
  concurrency_limits Limits(additiveIncreaseRule());
  std::vector<target_slots> Targets;
  for (const std::string &Name : names(State.range(0)))
    Targets.push_back({Name, 6});
  Limits.setTargets(Targets, 1);
  for (auto Step : State)
    benchmark::DoNotOptimize(Limits.capacity());
}
BENCHMARK(capacityOfTargets)
    ->ArgsProduct({{std::begin(Sizes), std::end(Sizes)}});

} // namespace

BENCHMARK_MAIN();
