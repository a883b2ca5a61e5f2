#include <cstdint>
#include <cstdlib>
#include <string>

#include <absl/strings/str_cat.h>
#include <benchmark/benchmark.h>
#include <malloc.h>

#include "Common/Digest.h"
#include "Contract/Codec.h"
#include "Contract/Diff.h"
#include "Contract/Snapshot.h"

using namespace magnolia::contract;
using magnolia::common::sha256Hex;

namespace {

constexpr int SmallestCount = 1000;
constexpr int LargestCount = 100'000;
/// Names are looked up in an order that jumps over the whole index.
constexpr uint64_t Stride = 7919;

/// \p Count workspaces, routes and keys, and a service for every ten.
configuration makeConfiguration(uint64_t Count) {
  configuration Configuration;
  Configuration.Version = 1;
  manifest &Manifest = Configuration.Manifest;
  for (uint64_t Index = 0; Index < Count; ++Index) {
    const std::string Name = absl::StrCat("workspace-", Index);
    Manifest.Workspaces.push_back({Name, 10, 20});
    Configuration.Keys.push_back(
        {absl::StrCat("key-", Index), sha256Hex(Name), Name, false});
    route Route;
    Route.Name = absl::StrCat("route-", Index);
    Route.PathPrefix = absl::StrCat("/shop-", Index, "/orders");
    Route.Service = absl::StrCat("service-", Index / 10);
    Manifest.Routes.push_back(Route);
  }
  for (uint64_t Index = 0; Index < Count / 10; ++Index) {
    service Service;
    Service.Name = absl::StrCat("service-", Index);
    Service.Targets.push_back({"a", "127.0.0.1:1", "nitra", 6, false});
    Manifest.Services.push_back(Service);
  }
  return Configuration;
}

uint64_t heapBytes() { return mallinfo2().uordblks + mallinfo2().hblkhd; }

void findKey(benchmark::State &State) {
  const auto Count = static_cast<uint64_t>(State.range(0));
  const snapshot Snapshot(makeConfiguration(Count));
  const std::vector<key> &Keys = Snapshot.content().Keys;
  uint64_t Index = 0;
  for (auto Iteration : State) {
    Index = (Index + Stride) % Count;
    benchmark::DoNotOptimize(Snapshot.findKey(Keys[Index].Digest));
  }
}

/// From the secret that a caller presents to its workspace.
void authenticate(benchmark::State &State) {
  const auto Count = static_cast<uint64_t>(State.range(0));
  const snapshot Snapshot(makeConfiguration(Count));
  const std::vector<workspace> &Workspaces =
      Snapshot.content().Manifest.Workspaces;
  uint64_t Index = 0;
  for (auto Iteration : State) {
    Index = (Index + Stride) % Count;
    const key *Key = Snapshot.findKey(sha256Hex(Workspaces[Index].Name));
    benchmark::DoNotOptimize(Snapshot.findWorkspace(Key->Workspace));
  }
}

void findRoute(benchmark::State &State) {
  const auto Count = static_cast<uint64_t>(State.range(0));
  const snapshot Snapshot(makeConfiguration(Count));
  std::vector<std::string> Paths;
  for (uint64_t Index = 0; Index < Count; ++Index)
    Paths.push_back(absl::StrCat("/shop-", Index, "/orders/2026/17?full=1"));
  uint64_t Index = 0;
  for (auto Iteration : State) {
    Index = (Index + Stride) % Count;
    benchmark::DoNotOptimize(Snapshot.findRoute(Paths[Index]));
  }
}

/// Decodes and indexes, as an instance does with each new version.
void buildSnapshot(benchmark::State &State) {
  const auto Count = static_cast<uint64_t>(State.range(0));
  const std::string Bytes = encode(makeConfiguration(Count));
  uint64_t Held = 0;
  for (auto Iteration : State) {
    const uint64_t Before = heapBytes();
    const auto Snapshot = std::make_unique<snapshot>(*decode(Bytes));
    Held = heapBytes() - Before;
    benchmark::DoNotOptimize(Snapshot->version());
  }
  const auto Entries = static_cast<double>(Count);
  State.counters["encoded_bytes"] = static_cast<double>(Bytes.size());
  State.counters["held_bytes"] = static_cast<double>(Held);
  State.counters["held_bytes_per_entry"] = static_cast<double>(Held) / Entries;
}

void encodeConfiguration(benchmark::State &State) {
  const configuration Configuration =
      makeConfiguration(static_cast<uint64_t>(State.range(0)));
  for (auto Iteration : State)
    benchmark::DoNotOptimize(encode(Configuration));
}

void diffOfOneChange(benchmark::State &State) {
  const configuration Old =
      makeConfiguration(static_cast<uint64_t>(State.range(0)));
  configuration New = Old;
  New.Manifest.Workspaces.front().Rate = 11;
  for (auto Iteration : State)
    benchmark::DoNotOptimize(diff(Old, New));
}

void sizes(benchmark::internal::Benchmark *Benchmark) {
  Benchmark->RangeMultiplier(10)
      ->Range(SmallestCount, LargestCount)
      ->Arg(30'000);
}

BENCHMARK(findKey)->Apply(sizes);
BENCHMARK(authenticate)->Apply(sizes);
BENCHMARK(findRoute)->Apply(sizes);
BENCHMARK(buildSnapshot)->Apply(sizes)->Unit(benchmark::kMillisecond);
BENCHMARK(encodeConfiguration)->Apply(sizes)->Unit(benchmark::kMillisecond);
BENCHMARK(diffOfOneChange)->Apply(sizes)->Unit(benchmark::kMillisecond);

} // namespace
