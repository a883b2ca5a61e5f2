#include <charconv>
#include <cstdio>
#include <string_view>

#include "Benchmarks/Admission/FleetModel.h"

using namespace magnolia::benchmarks;
using std::chrono::microseconds;

namespace {

/// Part of the slots that all workspaces use at their contracted rates.
constexpr double ContractedPart = 0.7;

struct named_queue {
  const char *Name;
  queue_kind Kind;
};

struct named_limit {
  const char *Name;
  limit_kind Kind;
};

constexpr named_queue Queues[] = {
    {"first come", queue_kind::FirstCome},
    {"deficit round robin", queue_kind::DeficitRoundRobin},
    {"start-time fair, by request", queue_kind::StartTimeFairByRequest},
    {"start-time fair, by slot time", queue_kind::StartTimeFair},
};

struct named_weight {
  const char *Name;
  weight_kind Kind;
};

constexpr named_weight Weights[] = {
    {"weights by rate", weight_kind::Rate},
    {"weights by root of rate", weight_kind::SquareRootOfRate},
    {"equal weights", weight_kind::Equal},
};

constexpr named_limit Limits[] = {
    {"no limit", limit_kind::None},
    {"fixed share", limit_kind::FixedShare},
    {"gradient", limit_kind::Gradient},
    {"additive increase", limit_kind::Additive},
};

/// The rates of the brief's eight workspaces, scaled to the service's slots.
std::vector<modelled_workspace> workspacesFor(const fleet_model &Model,
                                              std::vector<double> Rates) {
  double Sum = 0;
  for (const double Rate : Rates)
    Sum += Rate;
  const double Capacity = static_cast<double>(Model.Targets) * Model.Slots *
                          1e6 / static_cast<double>(Model.MeanWork.count());
  std::vector<modelled_workspace> Workspaces;
  for (size_t Index = 0; Index < Rates.size(); ++Index)
    Workspaces.push_back({"w" + std::to_string(Index),
                          Rates[Index] * Capacity * ContractedPart / Sum, 1,
                          1});
  return Workspaces;
}

fleet_model skWest() {
  fleet_model Model;
  Model.Instances = 14;
  Model.Targets = 6;
  Model.Slots = 6;
  Model.Delay = microseconds(500);
  Model.Workspaces = workspacesFor(Model, {400, 300, 120, 80, 40, 30, 20, 10});
  return Model;
}

fleet_model bengal() {
  fleet_model Model;
  Model.Instances = 16;
  Model.EntryInstances = 16;
  Model.Targets = 10;
  Model.Slots = 4;
  Model.TargetQueue = 4;
  Model.Delay = microseconds(1500);
  Model.Workspaces = workspacesFor(Model, {300, 200, 80, 60, 40, 30, 20, 10});
  return Model;
}

/// Prints the worst-served workspace among those within their rate.
void printWorst(const char *Queue, const char *Limit, const fleet_model &Model,
                const fleet_result &Result) {
  const modelled_result *Worst = nullptr;
  double WorstHighMs = 0;
  for (size_t Index = 0; Index < Model.Workspaces.size(); ++Index) {
    const modelled_workspace &Workspace = Model.Workspaces[Index];
    const modelled_result &Row = Result.Workspaces[Index];
    if (Workspace.Load > 1 || Workspace.Work > 1)
      continue;
    WorstHighMs = std::max(WorstHighMs, Row.HighMs);
    if (Worst == nullptr ||
        Row.Succeeded * Worst->Sent < Worst->Succeeded * Row.Sent)
      Worst = &Row;
  }
  std::printf("%-30s %-18s %9.3f %9.1f %9.3f %12llu\n", Queue, Limit,
              100.0 * static_cast<double>(Worst->Succeeded) /
                  static_cast<double>(Worst->Sent),
              WorstHighMs, Result.Utilisation,
              static_cast<unsigned long long>(Result.TargetRefusals));
}

void printHead(const char *Title) {
  std::printf("\n%s\n%-30s %-18s %9s %9s %9s %12s\n", Title, "queue", "limit",
              "worst ok%", "p99 ms", "slots used", "refused");
}

void compare(fleet_model Model, const char *Title) {
  printHead(Title);
  for (const named_queue &Queue : Queues) {
    Model.Queue = Queue.Kind;
    Model.Limits = limit_kind::Additive;
    printWorst(Queue.Name, "additive increase", Model, runModel(Model));
  }
  Model.Queue = queue_kind::StartTimeFair;
  for (const named_weight &Weight : Weights) {
    Model.Weights = Weight.Kind;
    printWorst(Weight.Name, "additive increase", Model, runModel(Model));
  }
  Model.Weights = weight_kind::SquareRootOfRate;
  for (const named_limit &Limit : Limits) {
    Model.Limits = Limit.Kind;
    printWorst("start-time fair, by slot time", Limit.Name, Model,
               runModel(Model));
  }
}

void compareAll(fleet_model Model, const std::string &Name, uint64_t Seed) {
  Model.Seed = Seed;
  compare(Model, (Name + ": every workspace at its rate").c_str());
  fleet_model Busy = Model;
  Busy.Workspaces[2].Load = 6;
  compare(Busy, (Name + ": the third at six times its rate").c_str());
  fleet_model Largest = Model;
  Largest.Workspaces[0].Load = 4;
  compare(Largest, (Name + ": the largest at four times its rate").c_str());
  fleet_model Skewed = Busy;
  Skewed.EntryInstances = 4;
  compare(Skewed,
          (Name +
           ": the third at six times its rate, all callers at four instances")
              .c_str());
  fleet_model Heavy = Model;
  Heavy.Workspaces[2].Work = 8;
  compare(Heavy,
          (Name + ": the third's requests take eight times as long").c_str());
}

} // namespace

int main(int Argc, char **Argv) {
  uint64_t Seed = 1;
  if (Argc > 1) {
    const std::string_view Text(Argv[1]);
    const auto [End, Error] =
        std::from_chars(Text.data(), Text.data() + Text.size(), Seed);
    if (Error != std::errc() || End != Text.data() + Text.size()) {
      std::fprintf(stderr, "usage: fairness_experiment [SEED]\n");
      return 2;
    }
  }
  std::printf("seed %llu\n", static_cast<unsigned long long>(Seed));
  compareAll(skWest(), "sk-west", Seed);
  compareAll(bengal(), "bengal", Seed);
  return 0;
}
