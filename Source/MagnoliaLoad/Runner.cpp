#include "MagnoliaLoad/Runner.h"

#include <algorithm>
#include <atomic>
#include <deque>
#include <memory>
#include <optional>
#include <thread>

#include <absl/base/thread_annotations.h>
#include <absl/strings/str_cat.h>
#include <absl/synchronization/mutex.h>

#include "MagnoliaLoad/Arrivals.h"
#include "MagnoliaLoad/Directory.h"

namespace magnolia::load {
namespace {

using clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

constexpr milliseconds BackgroundPeriod{50};
constexpr milliseconds MetricsPeriod{250};

microseconds since(clock::time_point Start) {
  return std::chrono::duration_cast<microseconds>(clock::now() - Start);
}

/// Arrivals that are due and wait for a free thread.
class job_queue {
public:
  void push(const arrival &Arrival) {
    const absl::MutexLock Lock(&Mutex);
    Jobs.push_back(Arrival);
  }

  void close() {
    const absl::MutexLock Lock(&Mutex);
    Closed = true;
  }

  /// Waits for a job; absent once the queue is closed and empty.
  std::optional<arrival> pop() {
    const absl::MutexLock Lock(&Mutex);
    Mutex.Await(absl::Condition(this, &job_queue::isReady));
    if (Jobs.empty())
      return std::nullopt;
    const arrival Job = Jobs.front();
    Jobs.pop_front();
    return Job;
  }

private:
  bool isReady() const ABSL_EXCLUSIVE_LOCKS_REQUIRED(Mutex) {
    return Closed || !Jobs.empty();
  }

  absl::Mutex Mutex;
  std::deque<arrival> Jobs ABSL_GUARDED_BY(Mutex);
  bool Closed ABSL_GUARDED_BY(Mutex) = false;
};

/// One run: a thread that releases arrivals on time, threads that call, and one
/// that follows directory, metrics and events.
class run {
public:
  explicit run(const experiment &Experiment)
      : Experiment(Experiment), Directory(Experiment), Watch(Experiment) {}

  run_result execute() {
    Directory.refresh(clock::now());
    Start = clock::now();
    std::thread Background([this] { followFleet(); });
    std::vector<std::vector<workspace_result>> Parts(Experiment.Threads);
    std::vector<std::thread> Workers;
    for (std::vector<workspace_result> &Part : Parts) {
      Part.resize(sourceCount());
      Workers.emplace_back([this, &Part] { work(Part); });
    }
    releaseArrivals();
    for (std::thread &Worker : Workers)
      Worker.join();
    Stopping = true;
    Background.join();
    return collect(Parts);
  }

private:
  size_t sourceCount() const {
    return Experiment.Workspaces.size() + (Experiment.Direct.Rate > 0 ? 1 : 0);
  }

  void releaseArrivals() {
    arrivals Arrivals(Experiment);
    while (const auto Arrival = Arrivals.next()) {
      std::this_thread::sleep_until(Start + Arrival->At);
      Jobs.push(*Arrival);
    }
    Jobs.close();
  }

  void work(std::vector<workspace_result> &Results) {
    caller Caller(Experiment.Timeout);
    while (const auto Job = Jobs.pop()) {
      const microseconds Lateness = since(Start) - Job->At;
      std::this_thread::sleep_for(Experiment.ClientDelay);
      const call_outcome Outcome = callFor(*Job, Caller);
      std::this_thread::sleep_for(Experiment.ClientDelay);
      if (Job->At >= Experiment.WarmUp)
        record(Results[Job->Workspace], *Job, Outcome, Lateness);
    }
  }

  call_outcome callFor(const arrival &Job, caller &Caller) {
    const std::string RequestId =
        absl::StrCat(Experiment.Name, "-", Experiment.Seed, "-",
                     Start.time_since_epoch().count(), "-", NextRequest++);
    if (Job.Workspace == Experiment.Workspaces.size())
      return callDirect(Caller, RequestId);
    const workspace_load &Workspace = Experiment.Workspaces[Job.Workspace];
    call_outcome Outcome{false, "no_address", "no"};
    for (const std::string &Address :
         Directory.addressesFor(Job.Workspace, Job.Caller)) {
      Outcome = Caller.call(Address, Workspace.Requests[Job.Request],
                            Workspace.Key, RequestId);
      // Only an instance that could not be reached is passed over.
      if (Outcome.Kind != "connect_failed")
        return Outcome;
    }
    return Outcome;
  }

  call_outcome callDirect(caller &Caller, const std::string &RequestId) {
    const auto &Targets = Experiment.Direct.Targets;
    request_kind Request;
    Request.Method = "GET";
    Request.Path = Experiment.Direct.Path;
    return Caller.call(Targets[NextRequest % Targets.size()], Request, "",
                       RequestId);
  }

  void record(workspace_result &Result, const arrival &Job,
              const call_outcome &Outcome, microseconds Lateness) const {
    ++Result.Sent;
    Result.WithinRate += Job.WithinRate ? 1 : 0;
    Result.Lateness.add(Lateness);
    if (Outcome.Succeeded) {
      ++Result.Succeeded;
      Result.Latency.add(since(Start) - Job.At);
      return;
    }
    ++Result.Failures[{Outcome.Kind, Outcome.Ran}];
    const bool ForRate =
        Outcome.Kind == responseFor(common::error_kind::RateExceeded).Name ||
        Outcome.Kind == responseFor(common::error_kind::RateUnavailable).Name;
    Result.RateRefused += ForRate ? 1 : 0;
    Result.RateRefusedWithin += ForRate && Job.WithinRate ? 1 : 0;
  }

  void followFleet() {
    caller Caller(Experiment.Timeout);
    std::vector<scheduled_event> Events = Experiment.Events;
    std::sort(Events.begin(), Events.end(),
              [](const auto &L, const auto &R) { return L.At < R.At; });
    auto Next = Events.begin();
    microseconds NextMetrics{0};
    while (!Stopping) {
      for (; Next != Events.end() && Next->At <= since(Start); ++Next)
        EventFailures += Caller.send(*Next) ? 0 : 1;
      if (since(Start) >= NextMetrics) {
        Watch.poll(since(Start));
        NextMetrics = since(Start) + MetricsPeriod;
      }
      Directory.refresh(clock::now());
      std::this_thread::sleep_for(BackgroundPeriod);
    }
  }

  run_result collect(const std::vector<std::vector<workspace_result>> &Parts) {
    run_result Result;
    Result.Workspaces.resize(sourceCount());
    for (const auto &Part : Parts)
      for (size_t Index = 0; Index < Part.size(); ++Index)
        Result.Workspaces[Index].merge(Part[Index]);
    Result.Detections = Watch.detections();
    Result.FalseEjections = Watch.falseEjections();
    Result.SawMetrics = Watch.sawMetrics();
    Result.DirectoryFailures = Directory.failures();
    Result.EventFailures = EventFailures;
    Result.ElapsedSeconds =
        std::chrono::duration<double>(clock::now() - Start).count();
    return Result;
  }

  const experiment &Experiment;
  clock::time_point Start;
  job_queue Jobs;
  directory Directory;
  ejection_watch Watch;
  std::atomic<bool> Stopping = false;
  std::atomic<uint64_t> NextRequest = 0;
  std::atomic<uint64_t> EventFailures = 0;
};

} // namespace

void workspace_result::merge(const workspace_result &Other) {
  Sent += Other.Sent;
  WithinRate += Other.WithinRate;
  Succeeded += Other.Succeeded;
  RateRefused += Other.RateRefused;
  RateRefusedWithin += Other.RateRefusedWithin;
  for (const auto &[Kind, Count] : Other.Failures)
    Failures[Kind] += Count;
  Latency.merge(Other.Latency);
  Lateness.merge(Other.Lateness);
}

uint64_t workspace_result::wronglyRefused() const {
  const uint64_t Admitted = Sent - RateRefused;
  return WithinRate > Admitted ? WithinRate - Admitted : 0;
}

double workspace_result::successRatio() const {
  if (WithinRate == 0)
    return 1;
  return std::min(1.0, static_cast<double>(Succeeded) /
                           static_cast<double>(WithinRate));
}

run_result runExperiment(const experiment &Experiment) {
  return run(Experiment).execute();
}

} // namespace magnolia::load
