#include "Routing/SplitChooser.h"

#include <algorithm>

#include <absl/container/flat_hash_set.h>
#include <absl/random/distributions.h>

namespace magnolia::routing {
namespace {

/// Covers a full round of weights given in thousandths.
constexpr uint64_t MaxInitialSteps = 1000;

} // namespace

/// Makes one step of smooth weighted round robin and returns the index of the
/// next part.
size_t split_chooser::step(state &State) {
  double Total = 0;
  size_t Best = 0;
  for (size_t Index = 0; Index < State.Parts.size(); ++Index) {
    const auto Weight = static_cast<double>(State.Parts[Index].Weight);
    Total += Weight;
    State.Credits[Index] += Weight;
    if (State.Credits[Index] > State.Credits[Best])
      Best = Index;
  }
  State.Credits[Best] -= Total;
  return Best;
}

void split_chooser::restart(state &State, const route &Route,
                            absl::BitGenRef Random) {
  State.Parts = Route.Parts;
  State.Credits.assign(Route.Parts.size(), 0);
  uint64_t Total = 0;
  for (const split_part &Part : Route.Parts)
    Total += Part.Weight;
  // The round repeats after as many steps as the weights add up to.
  const uint64_t Steps = absl::Uniform<uint64_t>(
      Random, 0, std::clamp<uint64_t>(Total, 1, MaxInitialSteps));
  for (uint64_t Count = 0; Count < Steps; ++Count)
    step(State);
}

const std::string *split_chooser::next(const route &Route,
                                       absl::BitGenRef Random) {
  const bool AnyWeight =
      std::any_of(Route.Parts.begin(), Route.Parts.end(),
                  [](const split_part &Part) { return Part.Weight > 0; });
  if (!AnyWeight)
    return nullptr;
  if (Route.Parts.size() == 1)
    return &Route.Parts.front().Service;
  state &State = States[Route.Name];
  if (State.Parts != Route.Parts)
    restart(State, Route, Random);
  return &Route.Parts[step(State)].Service;
}

void split_chooser::keepOnly(const configuration &Configuration) {
  absl::flat_hash_set<std::string> Names;
  for (const route &Route : Configuration.Routes)
    Names.insert(Route.Name);
  absl::erase_if(
      States, [&](const auto &Entry) { return !Names.contains(Entry.first); });
}

} // namespace magnolia::routing
