#include "ScenarioTests/Callers.h"

#include <algorithm>
#include <map>
#include <sstream>

#include <absl/container/flat_hash_set.h>
#include <nlohmann/json.hpp>

#include "Common/Time.h"

namespace magnolia::scenario {
namespace {

constexpr const char *CallHeader = "X-Call";
constexpr double MicrosPerSecond = 1e6;

/// The value of `Key=` in a log line; empty where it does not stand.
std::string fieldOf(const std::string &Line, const std::string &Key) {
  const size_t Start = Line.find(" " + Key + "=");
  if (Start == std::string::npos)
    return "";
  const size_t Value = Start + Key.size() + 2;
  return Line.substr(Value, Line.find_first_of(" \n", Value) - Value);
}

/// Boot-clock microseconds of each attempt, by request id.
using spend_map = std::map<std::string, std::vector<int64_t>>;

void readSpends(const std::string &Log, spend_map &Spends) {
  std::istringstream Lines(Log);
  std::string Line;
  while (std::getline(Lines, Line)) {
    std::istringstream Times(fieldOf(Line, "spent_us"));
    std::string Time;
    while (std::getline(Times, Time, ','))
      if (!Time.empty() && Time != "\"\"")
        Spends[fieldOf(Line, "id")].push_back(std::stoll(Time));
  }
}

/// What to add to wall-clock microseconds to get boot-clock ones.
int64_t bootOffset() {
  return common::boot_clock::now().time_since_epoch().count() -
         common::toUnixMicros(common::wallNow());
}

/// Seconds at which the runs of \p Workspace were paid for.
std::vector<double> spendTimes(const fleet &Fleet,
                               const std::vector<target_run> &Runs,
                               const std::string &Workspace) {
  spend_map Spends;
  for (const std::string &Instance : Fleet.instances())
    readSpends(Fleet.logOf(Instance), Spends);
  std::vector<double> Times;
  for (const target_run &Run : Runs) {
    if (Run.Workspace != Workspace)
      continue;
    std::vector<int64_t> &Left = Spends[Run.RequestId];
    int64_t Micros = Run.StartedMicros + bootOffset();
    if (!Left.empty()) {
      Micros = Left.front();
      Left.erase(Left.begin());
    }
    Times.push_back(static_cast<double>(Micros) / MicrosPerSecond);
  }
  return Times;
}

} // namespace

caller_group::caller_group(int Count, maker Make) : Make(std::move(Make)) {
  for (int Thread = 0; Thread < Count; ++Thread)
    Threads.emplace_back([this, Thread] { run(Thread); });
}

caller_group::~caller_group() { stop(); }

void caller_group::run(int Thread) {
  for (int Number = 0; !Stopping; ++Number) {
    auto [Address, Call] = Make(Thread, Number);
    call_result Result = send(Address, Call);
    const absl::MutexLock Lock(&Mutex);
    Exchanges.push_back(
        {std::move(Address), std::move(Call), std::move(Result)});
  }
}

std::vector<exchange> caller_group::stop() {
  Stopping = true;
  for (std::thread &Thread : Threads)
    Thread.join();
  Threads.clear();
  const absl::MutexLock Lock(&Mutex);
  return std::move(Exchanges);
}

size_t caller_group::count(int Status) const {
  const absl::MutexLock Lock(&Mutex);
  return static_cast<size_t>(
      std::count_if(Exchanges.begin(), Exchanges.end(), [&](const auto &Each) {
        return Each.Result.Status == Status;
      }));
}

double worstExcess(const fleet &Fleet, const std::vector<target_run> &Runs,
                   const std::string &Workspace, double Rate, double Burst) {
  std::vector<double> Times = spendTimes(Fleet, Runs, Workspace);
  std::sort(Times.begin(), Times.end());
  // The window from run A to run B holds B - A + 1 runs. Their number less
  // Rate * time is largest for the least A - Rate * time(A) before B.
  double Worst = -Burst;
  double Least = 0;
  for (size_t Index = 0; Index < Times.size(); ++Index) {
    const double Level = static_cast<double>(Index) - Rate * Times[Index];
    Least = Index == 0 ? Level : std::min(Least, Level);
    Worst = std::max(Worst, Level - Least + 1 - Burst);
  }
  return Worst;
}

std::vector<std::string> falseNotRun(const std::vector<exchange> &Exchanges,
                                     const std::vector<target_run> &Runs) {
  absl::flat_hash_set<std::string> Ran;
  for (const target_run &Run : Runs)
    Ran.insert(Run.CallId);
  std::vector<std::string> False;
  for (const exchange &Each : Exchanges) {
    const auto Id = Each.Call.Headers.find(CallHeader);
    if (Id != Each.Call.Headers.end() && Each.Result.Ran == "no" &&
        Ran.contains(Id->second))
      False.push_back(Id->second + " " + Each.Result.ErrorKind);
  }
  return False;
}

} // namespace magnolia::scenario
