#include "Benchmarks/Admission/FleetModel.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <memory>
#include <optional>
#include <queue>
#include <random>

#include "Benchmarks/Admission/BaselineQueue.h"
#include "Benchmarks/Admission/GradientRule.h"

namespace magnolia::benchmarks {
namespace {

using admission::slot_use;
using admission::target_outcome;
using admission::ticket;
using std::chrono::microseconds;

constexpr microseconds AdvancePeriod{10000};
constexpr uint32_t MaxAttempts = 3;
constexpr double WorkSpread = 0.5;
constexpr double MicrosPerSecond = 1e6;
constexpr double MicrosPerMs = 1e3;
constexpr uint32_t Unbounded = 1000000;

/// The queue of one instance, whichever kind it is.
struct waiting_line {
  std::function<absl::StatusOr<ticket>(const admission::admission_request &,
                                       boot_time,
                                       admission::fair_queue::decision_hook)>
      Submit;
  std::function<void(ticket, slot_use, boot_time)> Release;
  std::function<void(boot_time)> Advance;
};

template <typename Queue>
waiting_line lineOf(const std::shared_ptr<Queue> &Line) {
  return {[Line](const auto &Request, boot_time Now, auto Hook) {
            return Line->submit(Request, Now, std::move(Hook));
          },
          [Line](ticket Ticket, slot_use Use, boot_time Now) {
            Line->release(Ticket, Use, Now);
          },
          [Line](boot_time Now) { Line->advance(Now); }};
}

waiting_line makeLine(queue_kind Kind,
                      admission::fair_queue::capacity_hook Capacity) {
  admission::fair_queue_options Options;
  if (Kind == queue_kind::StartTimeFairByRequest)
    Options.Charge = admission::charge_unit::Request;
  if (Kind == queue_kind::FirstCome)
    return lineOf(std::make_shared<baseline_queue>(
        baseline_order::FirstCome, Options, std::move(Capacity)));
  if (Kind == queue_kind::DeficitRoundRobin)
    return lineOf(std::make_shared<baseline_queue>(
        baseline_order::DeficitRoundRobin, Options, std::move(Capacity)));
  return lineOf(
      std::make_shared<admission::fair_queue>(Options, std::move(Capacity)));
}

admission::limit_rule ruleOf(limit_kind Kind) {
  if (Kind == limit_kind::Additive)
    return admission::additiveIncreaseRule();
  if (Kind == limit_kind::Gradient)
    return gradientRule();
  return admission::fixedRule();
}

struct call {
  size_t Workspace;
  size_t Instance;
  boot_time Sent;
  boot_time Deadline;
  microseconds Work;
  uint32_t Attempts = 0;
};

struct instance_state {
  std::unique_ptr<admission::concurrency_limits> Limits;
  waiting_line Line;
};

struct target_state {
  std::string Name;
  uint32_t Busy = 0;
  std::deque<std::function<void()>> Queue;
};

class simulation {
public:
  explicit simulation(const fleet_model &Model)
      : Model(Model), Random(Model.Seed), Samples(Model.Workspaces.size()),
        Sent(Model.Workspaces.size()) {
    for (uint32_t Index = 0; Index < Model.Targets; ++Index)
      Targets.push_back({"t" + std::to_string(Index), 0, {}});
    for (uint32_t Index = 0; Index < Model.Instances; ++Index)
      addInstance();
  }

  fleet_result execute() {
    const boot_time End = boot_time(Model.Duration);
    for (size_t Index = 0; Index < Model.Workspaces.size(); ++Index)
      scheduleArrival(Index, End);
    for (size_t Index = 0; Index < Instances.size(); ++Index)
      scheduleAdvance(Index, End);
    while (!Events.empty()) {
      event Next = std::move(const_cast<event &>(Events.top()));
      Events.pop();
      Now = Next.At;
      Next.Action();
    }
    return collect();
  }

private:
  struct event {
    boot_time At;
    uint64_t Order;
    std::function<void()> Action;
    bool operator<(const event &Other) const {
      return std::pair(At, Order) > std::pair(Other.At, Other.Order);
    }
  };

  void at(boot_time When, std::function<void()> Action) {
    Events.push({When, NextOrder++, std::move(Action)});
  }

  void addInstance() {
    instance_state Instance;
    Instance.Limits =
        std::make_unique<admission::concurrency_limits>(ruleOf(Model.Limits));
    std::vector<admission::target_slots> Usable;
    const bool IsBounded = Model.Limits != limit_kind::None;
    for (const target_state &Target : Targets)
      Usable.push_back({Target.Name, IsBounded ? Model.Slots : Unbounded});
    Instance.Limits->setTargets(Usable, Model.Instances);
    Instance.Line = makeLine(Model.Queue, [Limits = Instance.Limits.get()] {
      return Limits->capacity();
    });
    Instances.push_back(std::move(Instance));
  }

  void scheduleArrival(size_t Workspace, boot_time End) {
    const modelled_workspace &Source = Model.Workspaces[Workspace];
    std::exponential_distribution<double> Gap(Source.Rate * Source.Load /
                                              MicrosPerSecond);
    const boot_time When =
        Now + microseconds(static_cast<int64_t>(Gap(Random)));
    if (When >= End)
      return;
    at(When, [this, Workspace, End] {
      arrive(Workspace);
      scheduleArrival(Workspace, End);
    });
  }

  void scheduleAdvance(size_t Instance, boot_time End) {
    if (Now >= End + Model.Timeout)
      return;
    at(Now + AdvancePeriod, [this, Instance, End] {
      Instances[Instance].Line.Advance(Now);
      scheduleAdvance(Instance, End);
    });
  }

  void arrive(size_t Workspace) {
    // A mean of one before it is scaled.
    std::lognormal_distribution<double> Spread(-WorkSpread * WorkSpread / 2,
                                               WorkSpread);
    const double Work = static_cast<double>(Model.MeanWork.count()) *
                        Model.Workspaces[Workspace].Work * Spread(Random);
    ++Sent[Workspace];
    submit(std::make_shared<call>(
        call{Workspace, Random() % Model.EntryInstances, Now,
             Now + Model.Timeout, microseconds(static_cast<int64_t>(Work))}));
  }

  void submit(const std::shared_ptr<call> &Call) {
    admission::admission_request Request;
    Request.Workspace = Model.Workspaces[Call->Workspace].Name;
    Request.Weight = weightOf(Model.Workspaces[Call->Workspace]);
    Request.Deadline = Call->Deadline;
    [[maybe_unused]] const auto Ticket = Instances[Call->Instance].Line.Submit(
        Request, Now, [this, Call](ticket Ticket, const absl::Status &Status) {
          if (Status.ok())
            forward(Call, Ticket);
        });
  }

  double weightOf(const modelled_workspace &Workspace) const {
    if (Model.Weights == weight_kind::Equal)
      return 1;
    return Model.Weights == weight_kind::Rate ? Workspace.Rate
                                              : std::sqrt(Workspace.Rate);
  }

  /// Sends to a random target with room.
  void forward(const std::shared_ptr<call> &Call, ticket Ticket) {
    admission::concurrency_limits &Limits = *Instances[Call->Instance].Limits;
    const size_t First = Random() % Targets.size();
    std::optional<size_t> Choice;
    for (size_t Step = 0; Step < Targets.size() && !Choice; ++Step) {
      const size_t Index = (First + Step) % Targets.size();
      if (Limits.tryStart(Targets[Index].Name))
        Choice = Index;
    }
    if (!Choice) {
      // Limits sank since the grant.
      release(*Call, Ticket, slot_use::Failed);
      return;
    }
    at(Now + Model.Delay, [this, Call, Ticket, Index = *Choice, Started = Now] {
      reachTarget(Call, Ticket, Index, Started);
    });
  }

  void reachTarget(const std::shared_ptr<call> &Call, ticket Ticket,
                   size_t Index, boot_time Started) {
    target_state &Target = Targets[Index];
    const auto Work = [this, Call, Ticket, Index, Started] {
      ++Targets[Index].Busy;
      SlotTime += Call->Work;
      at(Now + Call->Work, [this, Call, Ticket, Index, Started] {
        leaveTarget(Call, Ticket, Index, Started);
      });
    };
    if (Target.Busy < Model.Slots)
      return Work();
    if (Target.Queue.size() < Model.TargetQueue)
      return Target.Queue.push_back(Work);
    ++TargetRefusals;
    at(Now + Model.Delay, [this, Call, Ticket, Index, Started] {
      finish(Call, Ticket, Index, Started, target_outcome::Refused);
    });
  }

  void leaveTarget(const std::shared_ptr<call> &Call, ticket Ticket,
                   size_t Index, boot_time Started) {
    target_state &Target = Targets[Index];
    --Target.Busy;
    if (!Target.Queue.empty()) {
      const std::function<void()> Next = std::move(Target.Queue.front());
      Target.Queue.pop_front();
      Next();
    }
    at(Now + Model.Delay, [this, Call, Ticket, Index, Started] {
      finish(Call, Ticket, Index, Started, target_outcome::Succeeded);
    });
  }

  void finish(const std::shared_ptr<call> &Call, ticket Ticket, size_t Index,
              boot_time Started, target_outcome Outcome) {
    const bool Succeeded = Outcome == target_outcome::Succeeded;
    Instances[Call->Instance].Limits->finish(Targets[Index].Name, Outcome,
                                             Now - Started, Now);
    release(*Call, Ticket, Succeeded ? slot_use::Completed : slot_use::Failed);
    if (Succeeded && Now <= Call->Deadline)
      Samples[Call->Workspace].push_back(Now - Call->Sent);
    if (!Succeeded && ++Call->Attempts < MaxAttempts)
      submit(Call);
  }

  void release(const call &Call, ticket Ticket, slot_use Use) {
    Instances[Call.Instance].Line.Release(Ticket, Use, Now);
  }

  fleet_result collect() {
    fleet_result Result;
    Result.TargetRefusals = TargetRefusals;
    const double Offered = static_cast<double>(Model.Targets) * Model.Slots *
                           static_cast<double>(Model.Duration.count()) *
                           MicrosPerSecond;
    Result.Utilisation = static_cast<double>(SlotTime.count()) / Offered;
    for (size_t Index = 0; Index < Samples.size(); ++Index)
      Result.Workspaces.push_back(summarise(Index));
    return Result;
  }

  modelled_result summarise(size_t Index) {
    std::vector<microseconds> &Times = Samples[Index];
    std::sort(Times.begin(), Times.end());
    const auto Quantile = [&](double Part) {
      if (Times.empty())
        return 0.0;
      const auto Position =
          static_cast<size_t>(Part * static_cast<double>(Times.size() - 1));
      return static_cast<double>(Times[Position].count()) / MicrosPerMs;
    };
    return {Model.Workspaces[Index].Name, Sent[Index], Times.size(),
            Quantile(0.5), Quantile(0.99)};
  }

  const fleet_model &Model;
  std::mt19937_64 Random;
  boot_time Now;
  std::priority_queue<event> Events;
  uint64_t NextOrder = 0;
  std::vector<target_state> Targets;
  std::vector<instance_state> Instances;
  std::vector<std::vector<microseconds>> Samples;
  std::vector<uint64_t> Sent;
  uint64_t TargetRefusals = 0;
  microseconds SlotTime{0};
};

} // namespace

fleet_result runModel(const fleet_model &Model) {
  return simulation(Model).execute();
}

} // namespace magnolia::benchmarks
