#include <map>
#include <string>

#include <benchmark/benchmark.h>

#include "Request/AttemptPlan.h"
#include "Request/ClaimStore.h"
#include "Request/Idempotency.h"
#include "Request/LatencyQuantile.h"
#include "Request/RetryBudget.h"

namespace {

using namespace magnolia;
using namespace magnolia::request;
using common::boot_time;
using common::wall_time;
using std::chrono::milliseconds;

constexpr int64_t SmallestSize = 100;
constexpr int64_t LargestSize = 100'000;

const wall_time Start = common::fromUnixMicros(1'700'000'000'000'000);

void sizes(benchmark::internal::Benchmark *Benchmark) {
  Benchmark->RangeMultiplier(10)
      ->Range(SmallestSize, LargestSize)
      ->Complexity();
}

/// The decisions of a request whose first attempt succeeds.
void attemptPlan(benchmark::State &State) {
  const boot_time Now{std::chrono::hours(1)};
  attempt_outcome Whole;
  Whole.Execution = common::execution::Ran;
  for (auto _ : State) {
    attempt_plan Plan({}, {true, Now + milliseconds(100)},
                      {[] { return true; }, [] { return milliseconds(20); }});
    Plan.next(Now);
    const size_t Number = Plan.started(Now);
    benchmark::DoNotOptimize(Plan.next(Now));
    Plan.commit(Number);
    Plan.finished(Number, Whole);
    benchmark::DoNotOptimize(Plan.verdict());
  }
}
BENCHMARK(attemptPlan);

/// One request's share of the budgets of as many services.
void retryBudgets(benchmark::State &State) {
  retry_budgets Budgets({});
  std::vector<std::string> Names;
  for (int64_t Number = 0; Number < State.range(0); ++Number) {
    Names.push_back("service-" + std::to_string(Number));
    Budgets.earn(Names.back());
  }
  size_t Next = 0;
  for (auto _ : State) {
    Budgets.earn(Names[Next]);
    benchmark::DoNotOptimize(Budgets.trySpend(Names[Next]));
    Next = (Next + 1) % Names.size();
  }
  State.SetComplexityN(State.range(0));
}
BENCHMARK(retryBudgets)->Apply(sizes);

void latencyQuantile(benchmark::State &State) {
  constexpr size_t WindowSize = 1000;
  latency_quantile Quantile(0.95, WindowSize);
  int64_t Sample = 0;
  for (auto _ : State)
    Quantile.add(milliseconds(++Sample % 50));
  benchmark::DoNotOptimize(Quantile.estimate());
}
BENCHMARK(latencyQuantile);

/// By the bytes of the body.
void fingerprint(benchmark::State &State) {
  const std::string Body(static_cast<size_t>(State.range(0)), 'x');
  for (auto _ : State)
    benchmark::DoNotOptimize(fingerprintOf("POST", "/orders", Body));
  State.SetComplexityN(State.range(0));
  State.SetBytesProcessed(State.iterations() * State.range(0));
}
BENCHMARK(fingerprint)->Apply(sizes);

/// A table in memory that answers at once, so that the ledger's own cost shows.
class memory_table {
public:
  platform::table_service hooks() {
    return {[this](std::string_view Key) { return get(Key); }, nullptr,
            [this](auto Conditions, auto Writes) {
              return commit(Conditions, Writes);
            }};
  }

  size_t bytes() const {
    size_t Bytes = 0;
    for (const auto &[Key, Row] : Rows)
      Bytes += Key.size() + Row.Value.size();
    return Bytes;
  }

private:
  absl::StatusOr<platform::row> get(std::string_view Key) {
    const auto Found = Rows.find(std::string(Key));
    return Found == Rows.end() ? platform::row{} : Found->second;
  }

  absl::Status commit(absl::Span<const platform::condition> Conditions,
                      absl::Span<const platform::write> Writes) {
    for (const platform::condition &Condition : Conditions)
      if ((Condition.Version != 0) != (Rows.count(Condition.Key) != 0))
        return absl::AbortedError("condition");
    for (const platform::write &Write : Writes)
      Rows[Write.Key] = {Write.Key, *Write.Value, 1};
    return absl::OkStatus();
  }

  std::map<std::string, platform::row> Rows;
};

/// Claims as many keys in groups; the rows are what the platform keeps.
void claims(benchmark::State &State) {
  size_t RowBytes = 0;
  for (auto _ : State) {
    memory_table Table;
    claim_settings Settings;
    Settings.Instance = "trnava-1";
    claim_store Ledger(Settings, Table.hooks());
    const std::string Fingerprint = fingerprintOf("POST", "/orders", "");
    for (int64_t Key = 0; Key < State.range(0); ++Key) {
      Ledger.submit({"falcons", "orders", std::to_string(Key)}, Fingerprint,
                    Start + std::chrono::seconds(5),
                    [](const claim_result &) { return true; });
      if (Ledger.waiting() >= Settings.BatchLimit)
        Ledger.flush(Start);
    }
    while (Ledger.flush(Start)) {
    }
    State.PauseTiming();
    RowBytes = Table.bytes();
    State.ResumeTiming();
  }
  State.SetComplexityN(State.range(0));
  State.SetItemsProcessed(State.iterations() * State.range(0));
  State.counters["row_bytes"] =
      static_cast<double>(RowBytes) / static_cast<double>(State.range(0));
}
BENCHMARK(claims)->Apply(sizes)->Unit(benchmark::kMillisecond);

} // namespace
