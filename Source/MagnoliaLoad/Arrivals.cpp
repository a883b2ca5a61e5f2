#include "MagnoliaLoad/Arrivals.h"

#include <algorithm>

namespace magnolia::load {
namespace {

constexpr double MicrosPerSecond = 1e6;

std::discrete_distribution<size_t> weightsOf(const workspace_load *Workspace) {
  if (Workspace == nullptr)
    return {};
  std::vector<double> Weights;
  for (const request_kind &Request : Workspace->Requests)
    Weights.push_back(Request.Weight);
  return {Weights.begin(), Weights.end()};
}

} // namespace

bool reference_bucket::admit(microseconds At) {
  const double Passed =
      static_cast<double>((At - Last).count()) / MicrosPerSecond;
  Last = At;
  Tokens = std::min(Burst, Tokens + Passed * Rate);
  if (Tokens < 1)
    return false;
  Tokens -= 1;
  return true;
}

arrivals::arrivals(const experiment &Experiment) : Experiment(Experiment) {
  for (const workspace_load &Workspace : Experiment.Workspaces)
    addSource(Workspace.Rate * Workspace.Load, &Workspace);
  if (Experiment.Direct.Rate > 0)
    addSource(Experiment.Direct.Rate, nullptr);
}

void arrivals::addSource(double Rate, const workspace_load *Workspace) {
  const size_t Index = Sources.size();
  std::seed_seq Seed{Experiment.Seed, static_cast<uint64_t>(Index)};
  const bool IsDirect = Workspace == nullptr;
  // Direct calls have no contract, so that each is within its rate.
  const reference_bucket Reference =
      IsDirect
          ? reference_bucket(Rate, static_cast<double>(Experiment.MaxRequests))
          : reference_bucket(Workspace->Rate, Workspace->Burst);
  Sources.push_back({std::mt19937_64(Seed), Rate, Reference,
                     weightsOf(Workspace), IsDirect ? 1 : Workspace->Callers});
  schedule(Index, microseconds(0));
}

void arrivals::schedule(size_t Source, microseconds After) {
  std::exponential_distribution<double> Gap(Sources[Source].Rate);
  const double Micros = Gap(Sources[Source].Random) * MicrosPerSecond;
  Due.emplace(After + microseconds(static_cast<int64_t>(Micros)), Source);
}

std::optional<arrival> arrivals::next() {
  if (Due.empty() || Count >= Experiment.MaxRequests)
    return std::nullopt;
  const auto [At, Index] = Due.top();
  if (At >= Experiment.Duration)
    return std::nullopt;
  Due.pop();
  ++Count;
  source &Source = Sources[Index];
  arrival Arrival;
  Arrival.At = At;
  Arrival.Workspace = Index;
  Arrival.Caller = static_cast<uint32_t>(Source.Random() % Source.Callers);
  Arrival.Request = Source.Request(Source.Random);
  Arrival.WithinRate = Source.Reference.admit(At);
  schedule(Index, At);
  return Arrival;
}

} // namespace magnolia::load
