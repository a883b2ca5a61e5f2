#include <benchmark/benchmark.h>
#include <malloc.h>

#include "Quota/RateLimiter.h"

using namespace magnolia;
using namespace magnolia::quota;

namespace {

instant at(int64_t Micros) {
  return {common::boot_time(duration(Micros)),
          common::wall_time(duration(Micros))};
}

std::string nameOf(int64_t Index) {
  return "workspace-" + std::to_string(Index);
}

/// A gate that holds all shares of \p Count workspaces, or none of them.
struct fixture {
  std::vector<message> Sent;
  std::unique_ptr<rate_limiter> Gate;

  fixture(int64_t Count, uint32_t Held) {
    rate_limiter_options Options;
    Options.Self = "self";
    Options.Process = 1;
    rate_limiter_hooks Hooks;
    Hooks.Send = [this](const std::string &, const message &Message) {
      Sent.push_back(Message);
    };
    Hooks.Resolved = [](const resolution &) {};
    Gate = *rate_limiter::create(Options, Hooks);
    std::vector<contract::workspace> Workspaces;
    for (int64_t Index = 0; Index < Count; ++Index)
      Workspaces.push_back({nameOf(Index), 1e6, 1e6});
    Gate->setConfiguration(Workspaces, at(0));
    share_view View;
    View.Partitions.resize(64);
    for (partition_view &Partition : View.Partitions) {
      Partition.Held = Held;
      Partition.Owners = {Held > 0 ? "self" : "peer"};
    }
    Gate->setShares(std::make_shared<share_view>(View), at(0));
    Gate->setLease(expiryAfter(at(0), std::chrono::hours(1000)));
  }
};

size_t heapBytes() { return mallinfo2().uordblks + mallinfo2().hblkhd; }

void admitAtHome(benchmark::State &State) {
  fixture Fixture(State.range(0), 1);
  int64_t Now = 10'000'000;
  int64_t Index = 0;
  std::vector<std::string> Names;
  for (int64_t Name = 0; Name < State.range(0); ++Name)
    Names.push_back(nameOf(Name));
  for (auto _ : State) {
    Now += 10;
    const std::string &Name = Names[static_cast<size_t>(Index)];
    Index = (Index + 7919) % State.range(0);
    const admission Admission =
        Fixture.Gate->admit(Name, at(Now), at(Now + 1000).Boot);
    benchmark::DoNotOptimize(
        Fixture.Gate->spend(std::get<permit>(Admission), at(Now)));
  }
  State.counters["accounts"] =
      static_cast<double>(Fixture.Gate->activeAccounts());
}

void lendOneToken(benchmark::State &State) {
  fixture Fixture(State.range(0), 1);
  int64_t Now = 10'000'000;
  uint64_t Number = 1;
  for (auto _ : State) {
    Now += 10;
    const std::string Name =
        nameOf(static_cast<int64_t>(Number * 7919) % State.range(0));
    Fixture.Gate->handleMessage(
        "peer", loan_request{{2, Number++}, Name, OneToken, 0}, at(Now));
    const auto &Grant = std::get<loan_grant>(Fixture.Sent.back());
    Fixture.Gate->handleMessage("peer", loan_return{Grant.Loan, Name, 0},
                                at(Now));
    Fixture.Sent.clear();
  }
}

void codecRoundTrip(benchmark::State &State) {
  loan_grant Grant;
  Grant.Request = {~uint64_t{0}, 12345};
  Grant.Loan = {~uint64_t{0}, 67890};
  Grant.Workspace = nameOf(12345);
  Grant.Rate = 5 * OneToken;
  Grant.Capacity = 2 * OneToken;
  Grant.Tokens = OneToken;
  Grant.Term = std::chrono::seconds(1);
  for (auto _ : State)
    benchmark::DoNotOptimize(decode(encode(Grant)));
  State.counters["bytes"] = static_cast<double>(encode(Grant).size());
}

/// Bytes of a workspace that is configured, in use, and with a loan out.
void bytesPerWorkspace(benchmark::State &State) {
  const int64_t Count = State.range(0);
  double Idle = 0;
  double Used = 0;
  double Lent = 0;
  for (auto _ : State) {
    const size_t Start = heapBytes();
    fixture Fixture(Count, 1);
    const size_t Configured = heapBytes();
    for (int64_t Index = 0; Index < Count; ++Index) {
      const admission Admission = Fixture.Gate->admit(
          nameOf(Index), at(10'000'000), at(11'000'000).Boot);
      Fixture.Gate->spend(std::get<permit>(Admission), at(10'000'000));
    }
    const size_t InUse = heapBytes();
    for (int64_t Index = 0; Index < Count; ++Index) {
      Fixture.Gate->handleMessage(
          "peer",
          loan_request{
              {2, static_cast<uint64_t>(Index)}, nameOf(Index), OneToken, 0},
          at(10'000'000));
      Fixture.Sent.clear();
    }
    const size_t WithLoan = heapBytes();
    const auto Divisor = static_cast<double>(Count);
    Idle = static_cast<double>(Configured - Start) / Divisor;
    Used = static_cast<double>(InUse - Configured) / Divisor;
    Lent = static_cast<double>(WithLoan - InUse) / Divisor;
  }
  State.counters["bytes_configured"] = Idle;
  State.counters["bytes_in_use"] = Used;
  State.counters["bytes_loan"] = Lent;
}

void advanceQuiet(benchmark::State &State) {
  fixture Fixture(State.range(0), 1);
  int64_t Now = 10'000'000;
  for (auto _ : State) {
    Now += 10;
    Fixture.Gate->advance(at(Now));
  }
}

} // namespace

BENCHMARK(admitAtHome)->RangeMultiplier(10)->Range(100, 100'000);
BENCHMARK(lendOneToken)->RangeMultiplier(10)->Range(100, 100'000);
BENCHMARK(bytesPerWorkspace)
    ->RangeMultiplier(10)
    ->Range(100, 100'000)
    ->Iterations(1);
BENCHMARK(advanceQuiet)->RangeMultiplier(10)->Range(100, 100'000);
BENCHMARK(codecRoundTrip);

BENCHMARK_MAIN();
