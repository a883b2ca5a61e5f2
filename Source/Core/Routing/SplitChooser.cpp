#include "Routing/SplitChooser.h"

#include <algorithm>
#include <cmath>

#include <absl/container/flat_hash_set.h>
#include <absl/random/distributions.h>

namespace magnolia::routing {
namespace {

/// Shares closer than this are equal: 9 to 1 and 0.9 to 0.1 differ by rounding.
constexpr double ShareTolerance = 1e-12;

/// The share of each part of what the parts before it leave. Empty if all
/// weights are zero.
std::vector<double> sharesOf(const std::vector<split_part> &Parts) {
  double Largest = 0;
  for (const split_part &Part : Parts)
    Largest = std::max(Largest, Part.Weight);
  if (Largest <= 0)
    return {};
  std::vector<double> Shares(Parts.size());
  // Relative to the largest one, weights neither overflow nor vanish in a sum.
  double Left = 0;
  for (size_t Index = Parts.size(); Index-- > 0;) {
    const double Weight = Parts[Index].Weight / Largest;
    Left += Weight;
    Shares[Index] = Weight > 0 ? Weight / Left : 0;
  }
  return Shares;
}

} // namespace

size_t split_chooser::step(std::vector<turn> &Turns) {
  for (size_t Index = 0; Index < Turns.size(); ++Index) {
    turn &Turn = Turns[Index];
    Turn.Due += Turn.Share;
    if (Turn.Due < 1)
      continue;
    Turn.Due -= 1;
    return Index;
  }
  // Not reached: the last part with a weight takes all that is left.
  return Turns.size() - 1;
}

/// Takes over the parts of \p Route. Equal shares of the same services go on
/// where they were.
void split_chooser::update(state &State, const route &Route,
                           absl::BitGenRef Random) {
  const std::vector<double> Shares = sharesOf(Route.Parts);
  bool IsSame = State.Turns.size() == Shares.size() &&
                State.Parts.size() == Route.Parts.size();
  for (size_t Index = 0; IsSame && Index < Shares.size(); ++Index)
    IsSame =
        State.Parts[Index].Service == Route.Parts[Index].Service &&
        std::abs(State.Turns[Index].Share - Shares[Index]) < ShareTolerance;
  State.Parts = Route.Parts;
  if (IsSame)
    return;
  State.Turns.clear();
  for (const double Share : Shares)
    State.Turns.push_back({Share, absl::Uniform<double>(Random, 0, 1)});
}

const std::string *split_chooser::next(const route &Route,
                                       absl::BitGenRef Random) {
  if (Route.Parts.size() == 1 && Route.Parts.front().Weight > 0)
    return &Route.Parts.front().Service;
  state &State = States[Route.Name];
  if (State.Parts != Route.Parts)
    update(State, Route, Random);
  if (State.Turns.empty())
    return nullptr;
  return &Route.Parts[step(State.Turns)].Service;
}

void split_chooser::keepOnly(const configuration &Configuration) {
  absl::flat_hash_set<std::string> Names;
  for (const route &Route : Configuration.Routes)
    Names.insert(Route.Name);
  absl::erase_if(
      States, [&](const auto &Entry) { return !Names.contains(Entry.first); });
}

} // namespace magnolia::routing
