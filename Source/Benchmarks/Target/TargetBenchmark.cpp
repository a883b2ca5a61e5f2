#include <cstdint>
#include <string>

#include <benchmark/benchmark.h>
#include <malloc.h>

#include "Target/Selector.h"

using namespace magnolia;
using namespace magnolia::target;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr size_t TargetsPerService = 25;

std::vector<contract::service> services(size_t TargetCount) {
  std::vector<contract::service> Services;
  for (size_t I = 0; I < TargetCount; ++I) {
    if (I % TargetsPerService == 0) {
      Services.emplace_back();
      Services.back().Name = "service-" + std::to_string(I / TargetsPerService);
    }
    Services.back().Targets.push_back(
        {"target-" + std::to_string(I), "10.1.2.3:8080",
         "domain-" + std::to_string(I % 3), 6, false});
  }
  return Services;
}

/// Gives each target some answers.
void warm(target_selector &Selector,
          const std::vector<contract::service> &Services, boot_time Now) {
  for (const contract::service &Service : Services)
    for (size_t I = 0; I < 4 * Service.Targets.size(); ++I)
      if (const auto Choice = Selector.choose(Service.Name, {}, Now))
        Selector.finish(*Choice, {outcome::Success, milliseconds(20)}, Now);
}

void chooseAndFinish(benchmark::State &State) {
  const auto Services = services(static_cast<size_t>(State.range(0)));
  target_selector Selector({"a", "domain-0", 1}, settings());
  Selector.setServices(Services);
  boot_time Now(seconds(1000));
  size_t Next = 0;
  for ([[maybe_unused]] auto Each : State) {
    Now += duration(100);
    const std::string &Name = Services[Next++ % Services.size()].Name;
    const auto Choice = Selector.choose(Name, {}, Now);
    Selector.finish(*Choice, {outcome::Success, milliseconds(20)}, Now);
  }
}

void mergeDigest(benchmark::State &State) {
  const auto Services = services(static_cast<size_t>(State.range(0)));
  settings Settings;
  target_selector Peer({"b", "domain-1", 1}, Settings);
  target_selector Selector({"a", "domain-0", 1}, Settings);
  Peer.setServices(Services);
  Selector.setServices(Services);
  boot_time Now(seconds(1000));
  warm(Peer, Services, Now);
  digest Digest = Peer.makeDigest(Now);
  const std::string Bytes = encode(Digest);
  for ([[maybe_unused]] auto Each : State) {
    Now += milliseconds(500);
    auto Read = decodeDigest(Bytes);
    Read->Stamp = Now;
    benchmark::DoNotOptimize(Selector.receive(*Read, Now));
  }
  State.counters["reports"] = static_cast<double>(Digest.Reports.size());
  State.counters["bytes"] = static_cast<double>(Bytes.size());
}

void tickAll(benchmark::State &State) {
  const auto Services = services(static_cast<size_t>(State.range(0)));
  target_selector Selector({"a", "domain-0", 1}, settings());
  Selector.setServices(Services);
  boot_time Now(seconds(1000));
  warm(Selector, Services, Now);
  for ([[maybe_unused]] auto Each : State) {
    Now += milliseconds(100);
    Selector.tick(Now);
  }
}

void bytesPerTarget(benchmark::State &State) {
  const auto Services = services(static_cast<size_t>(State.range(0)));
  double Bytes = 0;
  for ([[maybe_unused]] auto Each : State) {
    const size_t Before = mallinfo2().uordblks + mallinfo2().hblkhd;
    target_selector Selector({"a", "domain-0", 1}, settings());
    Selector.setServices(Services);
    warm(Selector, Services, boot_time(seconds(1000)));
    const size_t After = mallinfo2().uordblks + mallinfo2().hblkhd;
    Bytes = static_cast<double>(After - Before);
  }
  State.counters["bytes_per_target"] =
      Bytes / static_cast<double>(State.range(0));
}

BENCHMARK(chooseAndFinish)->Arg(100)->Arg(1000)->Arg(10'000)->Arg(100'000);
BENCHMARK(mergeDigest)->Arg(100)->Arg(1000)->Arg(10'000)->Arg(100'000);
BENCHMARK(tickAll)->Arg(100)->Arg(1000)->Arg(10'000)->Arg(100'000);
BENCHMARK(bytesPerTarget)
    ->Arg(100)
    ->Arg(1000)
    ->Arg(10'000)
    ->Arg(100'000)
    ->Iterations(1);

} // namespace

BENCHMARK_MAIN();
