#include "GrayModel.h"

#include <algorithm>
#include <functional>
#include <memory>
#include <queue>
#include <random>

#include "Target/Selector.h"

namespace magnolia::benchmarks {
namespace {

using namespace target;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr size_t DomainCount = 3;
constexpr boot_time Start{seconds(1000)};
constexpr boot_time FaultFrom = Start + seconds(30);
constexpr boot_time End = FaultFrom + seconds(60);
constexpr duration MeanService = milliseconds(20);
constexpr duration Deadline = seconds(5);
constexpr duration ConnectTimeout = milliseconds(200);
constexpr duration SlowRequest = seconds(1);
constexpr duration DigestPeriod = milliseconds(500);
constexpr duration SamplePeriod = milliseconds(100);
constexpr duration FlapPeriod = seconds(3);
constexpr double SlowFactor = 10;
/// Faults that healthy targets have too.
constexpr double HealthyErrorRate = 0.005;
constexpr duration MeanBetweenPauses = seconds(30);
constexpr duration PauseLength = milliseconds(300);

/// One target: slots that become free at a time each.
struct model_target {
  std::vector<boot_time> SlotFree;
  boot_time PausedUntil;
  uint32_t InFlight = 0;
};

class model {
public:
  explicit model(const gray_setup &Setup)
      : Setup(Setup), Random(Setup.Seed), Targets(Setup.Targets) {
    contract::service Service;
    Service.Name = "service";
    Service.Floor = Setup.Floor;
    for (size_t I = 0; I < Setup.Targets; ++I) {
      Targets[I].SlotFree.assign(Setup.Slots, Start);
      Service.Targets.push_back({std::to_string(I), "127.0.0.1:9000",
                                 domainOf(I), Setup.Slots, false});
    }
    for (size_t I = 0; I < Setup.Instances; ++I) {
      Selectors.push_back(std::make_unique<target_selector>(
          identity{"i" + std::to_string(I), domainOf(I), 1}, Setup.Settings,
          [this] { return Random(); }));
      Selectors.back()->setServices({&Service, 1});
    }
    Unused.assign(Setup.Instances, std::vector<bool>(Setup.Targets));
    Detected.assign(Setup.Instances, boot_time());
  }

  gray_result run() {
    for (size_t I = 0; I < Setup.Instances; ++I) {
      scheduleArrival(I, Start);
      at(Start + DigestPeriod * I / Setup.Instances,
         [this, I](boot_time Now) { exchange(I, Now); });
    }
    for (size_t I = 0; I < Setup.Targets; ++I)
      schedulePause(I, Start);
    at(Start, [this](boot_time Now) { sample(Now); });
    while (!Events.empty() && Events.top().When < End) {
      const event Event = Events.top();
      Events.pop();
      Event.Run(Event.When);
    }
    return result();
  }

private:
  struct event {
    boot_time When;
    uint64_t Order;
    std::function<void(boot_time)> Run;
    bool operator<(const event &Other) const {
      return When != Other.When ? When > Other.When : Order > Other.Order;
    }
  };

  static std::string domainOf(size_t Index) {
    return "d" + std::to_string(Index % DomainCount);
  }

  void at(boot_time When, std::function<void(boot_time)> Run) {
    Events.push({When, ++LastOrder, std::move(Run)});
  }

  duration exponential(duration Mean) {
    std::exponential_distribution<double> Distribution(
        1.0 / static_cast<double>(Mean.count()));
    return duration(static_cast<int64_t>(Distribution(Random)) + 1);
  }

  bool chance(double Probability) {
    return std::bernoulli_distribution(Probability)(Random);
  }

  bool faulty(size_t Target, boot_time Now) const {
    if (Now < FaultFrom || Setup.Fault == gray_fault::None)
      return false;
    if (Setup.Fault == gray_fault::Correlated)
      return true;
    if (Setup.Fault == gray_fault::Flapping &&
        (Now - FaultFrom) / FlapPeriod % 2 == 1)
      return false;
    return Target == 0;
  }

  /// Whether an instance that does not use a target makes a mistake.
  bool healthyFor(size_t Instance, size_t Target, boot_time Now) const {
    if (Target != 0 || Now < FaultFrom || Setup.Fault == gray_fault::None ||
        Setup.Fault == gray_fault::Correlated)
      return true;
    return Setup.Fault == gray_fault::OneWayCut && Instance % DomainCount != 0;
  }

  void scheduleArrival(size_t Instance, boot_time Now) {
    const double BusySlots =
        Setup.Load * static_cast<double>(Setup.Targets * Setup.Slots);
    const auto Mean = static_cast<int64_t>(
        static_cast<double>(MeanService.count() *
                            static_cast<int64_t>(Setup.Instances)) /
        BusySlots);
    at(Now + exponential(duration(Mean)), [this, Instance](boot_time When) {
      scheduleArrival(Instance, When);
      ++Requests;
      SinceFault += When >= FaultFrom;
      start(Instance, When);
    });
  }

  void start(size_t Instance, boot_time Now) {
    const auto Choice = Selectors[Instance]->choose("service", {}, Now);
    if (!Choice) {
      countBad(Now);
      return;
    }
    const size_t Target = std::stoul(Choice->Target);
    observation Seen;
    const duration Travel = Target % DomainCount == Instance % DomainCount
                                ? duration(0)
                                : Setup.DelayBetweenDomains;
    duration Took = serve(Instance, Target, Now, Seen) + 2 * Travel;
    if (Took >= Deadline) {
      Took = Deadline;
      Seen.Outcome = outcome::Stall;
    }
    Seen.Latency = Took;
    ++Targets[Target].InFlight;
    at(Now + Took, [this, Instance, Target, Choice = *Choice,
                    Seen](boot_time When) mutable {
      --Targets[Target].InFlight;
      const bool Lies =
          Setup.Fault == gray_fault::LyingLoad && faulty(Target, When);
      Seen.ReportedLoad = Lies ? 0 : Targets[Target].InFlight;
      Selectors[Instance]->finish(Choice, Seen, When);
      if (Seen.Outcome != outcome::Success || Seen.Latency > SlowRequest)
        countBad(When);
    });
  }

  duration serve(size_t Instance, size_t Target, boot_time Now,
                 observation &Seen) {
    const bool Faulty = faulty(Target, Now);
    if (Faulty && Setup.Fault == gray_fault::OneWayCut &&
        Instance % DomainCount == 0) {
      Seen.Outcome = outcome::Unreachable;
      return ConnectTimeout;
    }
    if (Faulty && (Setup.Fault == gray_fault::Stall ||
                   Setup.Fault == gray_fault::Flapping))
      return Deadline;
    model_target &State = Targets[Target];
    const auto Slot =
        std::min_element(State.SlotFree.begin(), State.SlotFree.end());
    const boot_time Begin = std::max({Now, *Slot, State.PausedUntil});
    duration Service = exponential(MeanService);
    const bool Slower = Setup.Fault == gray_fault::Slow ||
                        Setup.Fault == gray_fault::LyingLoad ||
                        Setup.Fault == gray_fault::Correlated;
    if (Faulty && Slower)
      Service = duration(static_cast<int64_t>(
          SlowFactor * static_cast<double>(Service.count())));
    *Slot = Begin + Service;
    if (chance(HealthyErrorRate))
      Seen.Outcome = outcome::Error;
    if (Faulty && Setup.Fault == gray_fault::HalfAnswer && chance(0.5))
      Seen.Outcome = outcome::HalfAnswer;
    return Begin + Service - Now;
  }

  void schedulePause(size_t Target, boot_time Now) {
    at(Now + exponential(MeanBetweenPauses), [this, Target](boot_time When) {
      Targets[Target].PausedUntil = When + PauseLength;
      schedulePause(Target, When);
    });
  }

  void exchange(size_t From, boot_time Now) {
    // The first instance holds the floor lease.
    if (From == 0)
      Selectors[0]->decideEjections(
          [Now](std::string_view) { return Now + seconds(60); }, Now);
    const auto Digest =
        std::make_shared<digest>(Selectors[From]->makeDigest(Now));
    at(Now + Setup.DelayBetweenDomains, [this, From, Digest](boot_time When) {
      for (size_t To = 0; To < Setup.Instances; ++To)
        if (To != From)
          Selectors[To]->receive(*Digest, When);
    });
    at(Now + DigestPeriod,
       [this, From](boot_time When) { exchange(From, When); });
  }

  void sample(boot_time Now) {
    for (size_t I = 0; I < Setup.Instances; ++I)
      for (const target_status &Status : Selectors[I]->snapshot(Now))
        sampleOne(I, Status, Now);
    at(Now + SamplePeriod, [this](boot_time When) { sample(When); });
  }

  void sampleOne(size_t Instance, const target_status &Status, boot_time Now) {
    const size_t Target = std::stoul(Status.Target);
    const bool Out = Status.Health == health_state::Avoided ||
                     Status.Health == health_state::Ejected;
    const bool Healthy = healthyFor(Instance, Target, Now);
    if (Out && !Healthy && Detected[Instance] == boot_time())
      Detected[Instance] = Now;
    HealthySamples += Healthy;
    HealthyUnused += Healthy && Out;
    FalseEjections += Healthy && Out && !Unused[Instance][Target];
    Unused[Instance][Target] = Out;
  }

  void countBad(boot_time Now) { Bad += Now >= FaultFrom; }

  gray_result result() const {
    gray_result Result;
    for (size_t I = 0; I < Setup.Instances; ++I) {
      if (healthyFor(I, 0, End))
        continue;
      const boot_time Seen = Detected[I] == boot_time() ? End : Detected[I];
      Result.DetectionSeconds.push_back(
          std::chrono::duration<double>(Seen - FaultFrom).count());
    }
    const double Hours =
        std::chrono::duration<double, std::ratio<3600>>(End - Start).count() *
        static_cast<double>(Setup.Instances);
    Result.FalseEjectionsPerHour = static_cast<double>(FalseEjections) / Hours;
    Result.HealthyUnusedPercent = 100.0 * static_cast<double>(HealthyUnused) /
                                  static_cast<double>(HealthySamples);
    Result.BadRequestsPercent =
        100.0 * static_cast<double>(Bad) / static_cast<double>(SinceFault);
    Result.Requests = Requests;
    return Result;
  }

  const gray_setup Setup;
  std::mt19937_64 Random;
  std::vector<model_target> Targets;
  std::vector<std::unique_ptr<target_selector>> Selectors;
  std::priority_queue<event> Events;
  uint64_t LastOrder = 0;
  std::vector<std::vector<bool>> Unused;
  std::vector<boot_time> Detected;
  uint64_t Requests = 0;
  uint64_t SinceFault = 0;
  uint64_t Bad = 0;
  uint64_t HealthySamples = 0;
  uint64_t HealthyUnused = 0;
  uint64_t FalseEjections = 0;
};

} // namespace

std::string nameOf(gray_fault Fault) {
  const std::vector<std::string> Names = {
      "none",        "slow",     "stall",      "half_answer",
      "one_way_cut", "flapping", "lying_load", "correlated"};
  return Names[static_cast<size_t>(Fault)];
}

gray_result runGrayModel(const gray_setup &Setup) { return model(Setup).run(); }

} // namespace magnolia::benchmarks
